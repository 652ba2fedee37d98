/*
 * Explanations of a job or of a client account's guarantees, for operators.
 */
#include "job/guarantee_explanation.h"
#include "job/job_explanation.h"
#include "job/scheduler_state.h"

static const char *waiting_reason(const struct scheduler *s,
				  const struct job_entry *e)
{
	const char *reason = job_queue_reason(s->queue, e->record.id);

	if (e->requeue_ms)
		reason = NULL;
	if (!reason)
		reason = e->record.reason;
	return reason ? reason : "";
}

static GPtrArray *blockers_of(const struct job_entry *e)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, e->blockers);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_ptr_array_add(list, g_strdup(id));
	return list;
}

static GArray *members_of(const struct job_entry *e)
{
	GArray *list =
		g_array_new(FALSE, TRUE, sizeof(struct member_explanation));

	for (guint i = 0; e->gang && i < e->gang->members->len; i++) {
		const struct gang_member *m =
			&g_array_index(e->gang->members, struct gang_member, i);
		struct member_explanation x = {
			.worker = g_strdup(m->worker),
			.task = g_strdup(m->task),
			.state = g_strdup(gang_member_state_name(m->state)),
		};

		g_array_append_val(list, x);
	}
	return list;
}

static void add_line(struct job_explanation *x, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void add_line(struct job_explanation *x, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(x->lines, g_strdup_vprintf(format, args));
	va_end(args);
}

static void add_lines(struct job_explanation *x)
{
	x->lines = g_ptr_array_new_with_free_func(g_free);
	add_line(x, "job %s of %s in %s: %s", x->id, x->client_account, x->pool,
		 x->state);
	add_line(x, "reason: %s", x->reason);
	if (x->choice[0])
		add_line(x, "placed: %s; next best: %s", x->choice,
			 x->runner_up[0] ? x->runner_up : "none");
	if (x->members->len)
		add_line(x,
			 "attempt %" G_GINT64_FORMAT ": %s, %u members, first "
			 "on %s",
			 x->attempt, x->gang, x->members->len,
			 g_array_index(x->members, struct member_explanation, 0)
				 .worker);
	for (guint i = 0; i < x->waits_for->len; i++)
		add_line(x, "waits for the stop of job %s",
			 (const char *)x->waits_for->pdata[i]);
	if (x->failures)
		add_line(x, "failed attempts: %" G_GINT64_FORMAT, x->failures);
	if (x->stops)
		add_line(x, "stopped for others: %" G_GINT64_FORMAT " times",
			 x->stops);
}

json_object *scheduler_explain(const struct scheduler *s, const char *id)
{
	const struct job_entry *e = g_hash_table_lookup(s->entries, id);
	struct job_explanation x = { 0 };
	json_object *json;

	if (!e)
		return NULL;
	x.id = g_strdup(e->record.id);
	x.pool = g_strdup(s->pool_name);
	x.client_account = g_strdup(e->record.client_account);
	x.state = g_strdup(job_state_names[e->record.state]);
	x.reason = g_strdup(waiting_reason(s, e));
	x.choice = g_strdup(e->choice);
	x.runner_up = g_strdup(e->runner_up);
	x.gang = g_strdup(e->gang ? gang_state_name(e->gang->state) : "none");
	x.attempt = e->gang ? e->gang->attempt : e->record.attempt;
	x.failures = e->record.failures;
	x.stops = e->record.stops;
	x.epoch = s->epoch;
	x.waits_for = blockers_of(e);
	x.members = members_of(e);
	add_lines(&x);
	json = schema_encode(&job_explanation_schema, &x);
	schema_clear(&job_explanation_schema, &x);
	return json;
}

json_object *scheduler_explain_guarantee(const struct scheduler *s,
					 const char *client_account,
					 int64_t now_ms)
{
	if (s->phase != SCHEDULER_ACTIVE)
		return NULL;
	guarantee_watch_update(s->guarantee_watch, s->pool, now_ms);
	return guarantee_explanation_json(s->pool, s->guarantee_watch,
					  client_account, s->epoch, now_ms,
					  s->wall_offset_ms);
}
