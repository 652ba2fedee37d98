#include "job/guarantee_explanation.h"

#include "base/schema.h"
#include "base/util.h"
#include "job/guarantee_plan.h"
#include "job/guarantee_slots.h"
#include "job/placement/reclaim.h"

static const struct field_spec guarantee_fields[] = {
	SCHEMA_OUT_STRING(struct guarantee_explanation, name),
	SCHEMA_OUT_STRING(struct guarantee_explanation, state),
	SCHEMA_OUT_INT(struct guarantee_explanation, since_ms),
	SCHEMA_OUT_STRING(struct guarantee_explanation, reason),
	SCHEMA_OUT_STRINGS(struct guarantee_explanation, workers),
	SCHEMA_OUT_STRINGS(struct guarantee_explanation, used_by),
	SCHEMA_OUT_STRINGS(struct guarantee_explanation, would_stop),
	{ 0 },
};

static const struct schema guarantee_schema = {
	sizeof(struct guarantee_explanation), guarantee_fields
};

static const struct field_spec account_fields[] = {
	SCHEMA_OUT_STRING(struct account_explanation, client_account),
	SCHEMA_OUT_STRING(struct account_explanation, pool),
	SCHEMA_OUT_INT(struct account_explanation, epoch),
	SCHEMA_OUT_STRINGS(struct account_explanation, lines),
	{ .name = "guarantees",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct account_explanation, guarantees),
	  .max = G_MAXINT32,
	  .schema = &guarantee_schema },
	{ 0 },
};

static const struct schema account_schema = {
	sizeof(struct account_explanation), account_fields
};

static guint count_used(const struct guarantee *g)
{
	guint used = 0;

	for (int64_t i = 0; i < g->shape.members; i++)
		used += slot_is_used(&g->slots[i]);
	return used;
}

static const char *state_of(const struct guarantee *g, const char *problem)
{
	guint used = count_used(g);

	if (problem)
		return "not held";
	if (used == g->shape.members)
		return "in use";
	return used ? "in use in part" : "held";
}

static const char *reason_of(const struct guarantee *g, const char *problem,
			     const struct reclaim *r)
{
	if (problem)
		return problem;
	if (guarantee_is_used(g))
		return "the account's own work is never stopped for others";
	return r->victims->len ? "stopping borrowed work alone makes room there"
			       : "free now";
}

static GPtrArray *workers_of(const struct guarantee *g)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (int64_t i = 0; i < g->shape.members; i++) {
		const struct worker_cell *w = g->slots[i].worker;

		g_ptr_array_add(list, g_strdup(w ? w->name : ""));
	}
	return list;
}

static gboolean uses_guarantee(const struct running_job *r,
			       const struct guarantee *g)
{
	for (guint i = 0; r->slots && i < r->workers->len; i++) {
		if (r->slots[i]->guarantee == g)
			return TRUE;
	}
	return FALSE;
}

static GPtrArray *users_of(const struct pool *pool, const struct guarantee *g)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer job;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &job)) {
		const struct running_job *r = job;

		if (uses_guarantee(r, g))
			g_ptr_array_add(list, g_strdup(r->job.id));
	}
	return list;
}

/* Chooses the jobs that stop if the idle planned slots are claimed in place. */
static void choose_victims(struct reclaim *r, const struct guarantee *g)
{
	GPtrArray *workers = g_ptr_array_new();

	for (int64_t i = 0; i < g->shape.members; i++) {
		const struct slot *s = &g->slots[i];

		if (s->worker && !slot_is_used(s))
			g_ptr_array_add(workers, s->worker);
	}
	reclaim_choose_victims(r, workers);
	g_ptr_array_unref(workers);
}

static GPtrArray *victim_ids(const struct reclaim *r)
{
	struct placement p;
	GPtrArray *list;

	placement_init(&p);
	reclaim_list_victims(r, &p);
	list = g_ptr_array_ref(p.preempt);
	placement_clear(&p);
	return list;
}

static void add_line(struct account_explanation *x, char *line)
{
	g_ptr_array_add(x->lines, line);
}

static char *join_names(const GPtrArray *names)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < names->len; i++) {
		const char *name = names->pdata[i];

		g_string_append_printf(text, "%s%s", i ? ", " : "",
				       name[0] ? name : "(none)");
	}
	return g_string_free(text, FALSE);
}

/* Adds a line with a list of names, unless the list is empty. */
static void add_list(struct account_explanation *x, const char *what,
		     const GPtrArray *names)
{
	char *text = join_names(names);

	if (names->len)
		add_line(x, g_strdup_printf("  %s: %s", what, text));
	g_free(text);
}

static void add_lines(struct account_explanation *x,
		      const struct guarantee_explanation *g, int64_t wall_ms)
{
	add_line(x,
		 g_strdup_printf("%s of %s in %s: %s for %" G_GINT64_FORMAT
				 " s or more",
				 g->name, x->client_account, x->pool, g->state,
				 (wall_ms - g->since_ms) / MS_PER_S));
	add_line(x, g_strdup_printf("  why: %s", g->reason));
	add_list(x, "bound to", g->workers);
	add_list(x, "in use by", g->used_by);
	add_list(x, "would stop", g->would_stop);
}

static void add_guarantee(struct account_explanation *x, struct pool *pool,
			  const struct guarantee_watch *watch,
			  const struct guarantee *g, int64_t now_ms,
			  int64_t wall_offset_ms)
{
	struct pool_job job = { .id = "",
				.client_account = g->client_account,
				.class = JOB_CLASS_NORMAL,
				.shape = g->shape };
	char *place = guarantee_config_path(pool, g);
	struct guarantee_explanation e = { 0 };
	const char *problem;
	int64_t since_ms;
	struct reclaim r;

	problem = guarantee_watch_find(watch, place, &since_ms);
	reclaim_init(&r, pool, &job, now_ms, reclaim_is_borrowed, NULL);
	choose_victims(&r, g);
	e.name = g_strdup(g->name);
	e.state = g_strdup(state_of(g, problem));
	e.reason = g_strdup(reason_of(g, problem, &r));
	e.since_ms = since_ms + wall_offset_ms;
	e.workers = workers_of(g);
	e.used_by = users_of(pool, g);
	e.would_stop = victim_ids(&r);
	add_lines(x, &e, now_ms + wall_offset_ms);
	g_array_append_val(x->guarantees, e);
	reclaim_clear(&r);
	g_free(place);
}

json_object *guarantee_explanation_json(struct pool *pool,
					const struct guarantee_watch *watch,
					const char *client_account,
					int64_t epoch, int64_t now_ms,
					int64_t wall_offset_ms)
{
	const GPtrArray *list = pool_guarantees_of(pool, client_account);
	struct account_explanation x = { .epoch = epoch };
	json_object *json;

	if (!list)
		return NULL;
	x.client_account = g_strdup(client_account);
	x.pool = g_strdup(pool->name);
	x.lines = g_ptr_array_new_with_free_func(g_free);
	x.guarantees =
		g_array_new(FALSE, TRUE, sizeof(struct guarantee_explanation));
	for (guint i = 0; i < list->len; i++)
		add_guarantee(&x, pool, watch, list->pdata[i], now_ms,
			      wall_offset_ms);
	json = schema_encode(&account_schema, &x);
	schema_clear(&account_schema, &x);
	return json;
}
