#include "tests/gang_sim_internal.h"

#include <string.h>

void gang_sim_trace(struct gang_sim *s, const char *format, ...)
{
	char *text;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_queue_push_tail(&s->trace, g_strdup_printf("%6" G_GINT64_FORMAT " %s",
						     s->now_ms, text));
	g_free(text);
	if (s->trace.length > TRACE_LINES)
		g_free(g_queue_pop_head(&s->trace));
}

void gang_sim_violate(struct gang_sim *s, const char *what, const char *where)
{
	if (!s->violation)
		s->violation = g_strdup_printf("%s: %s", what, where);
}

gboolean gang_sim_chance(struct gang_sim *s, int percent)
{
	return g_rand_int_range(s->rand, 0, 100) < percent;
}

gboolean gang_sim_has_faults(const struct gang_sim *s)
{
	return s->now_ms < FAULTS_END_MS;
}

void gang_sim_event_free(gpointer data)
{
	struct sim_event *e = data;

	worker_call_clear(&e->call);
	worker_report_clear(&e->report);
	renewal_report_clear(&e->renewals);
	renewal_grant_clear(&e->grant);
	job_record_clear(&e->record);
	for (guint i = 0; i < JOBS; i++)
		job_record_clear(&e->rows[i].record);
	g_free(e);
}

struct sim_event *gang_sim_event_new(struct gang_sim *s, enum event_kind kind,
				     guint node)
{
	struct sim_event *e = g_new0(struct sim_event, 1);

	e->kind = kind;
	e->node = node;
	e->incarnation = s->nodes[node].incarnation;
	return e;
}

void gang_sim_post(struct gang_sim *s, struct sim_event *e, int64_t delay_ms)
{
	event_queue_add(&s->events, &e->base, s->now_ms + delay_ms);
}

int64_t gang_sim_network_ms(struct gang_sim *s)
{
	if (gang_sim_has_faults(s) && gang_sim_chance(s, 6))
		return g_rand_int_range(s->rand, 0, MAX_NETWORK_DELAY_MS);
	return g_rand_int_range(s->rand, 1, NETWORK_DELAY_MS);
}

guint gang_sim_job_index(const char *id)
{
	return (guint)(id[1] - '0');
}

static void handle(struct gang_sim *s, struct sim_event *e)
{
	struct sim_node *n = &s->nodes[e->node];
	const char *id = s->rows[e->job].record.id;

	switch (e->kind) {
	case EVENT_TICK:
		gang_sim_tick_node(s, e->node);
		break;
	case EVENT_CALL:
		gang_sim_worker_on_call(s, e);
		break;
	case EVENT_REPORT:
		gang_sim_on_report(s, e);
		break;
	case EVENT_GRANT:
		gang_sim_on_grant(s, e);
		break;
	case EVENT_CALL_ANSWER:
		if (e->is_delegate_call) {
			gang_sim_on_delegate_answer(s, e);
			break;
		}
		scheduler_on_worker_answer(
			n->scheduler, s->workers[e->worker].name, e->call_id,
			e->answer, &e->report, s->now_ms);
		break;
	case EVENT_WRITE:
		gang_sim_on_write(s, e);
		break;
	case EVENT_WRITE_ANSWER:
		scheduler_on_written(n->scheduler, id, e->call_id, e->status,
				     e->version, s->now_ms);
		break;
	case EVENT_READ_ANSWER:
		scheduler_on_read(n->scheduler, id, e->call_id, e->status,
				  e->version, &e->record, s->now_ms);
		break;
	case EVENT_SCAN_ANSWER:
		gang_sim_on_scan_answer(s, e);
		break;
	}
}

static gboolean is_for_node(const struct sim_event *e)
{
	return e->kind != EVENT_CALL && e->kind != EVENT_WRITE;
}

void gang_sim_step(struct gang_sim *s)
{
	struct sim_event *e = (struct sim_event *)event_queue_first(&s->events);
	struct sim_node *n = &s->nodes[e->node];

	s->now_ms = e->base.time;
	if (is_for_node(e) && e->incarnation == n->incarnation &&
	    s->now_ms < n->paused_until_ms) {
		event_queue_delay_first(&s->events, n->paused_until_ms);
		return;
	}
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_step(s, &s->workers[i]);
	gang_sim_lease_step(s);
	if (!is_for_node(e) || e->incarnation == n->incarnation)
		handle(s, e);
	if (e->kind == EVENT_TICK) {
		gang_sim_fault_step(s);
		gang_sim_submit_step(s);
	}
	gang_sim_check(s);
	event_queue_remove_first(&s->events);
}

gboolean gang_sim_all_ended(const struct gang_sim *s)
{
	for (guint i = 0; i < JOBS; i++) {
		if (!s->rows[i].exists ||
		    !job_record_is_ended(&s->rows[i].record))
			return FALSE;
	}
	return TRUE;
}

void gang_sim_open(struct gang_sim *s, guint32 seed, enum sim_defect defect)
{
	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(seed);
	s->defect = defect;
	s->has_lease_overrun =
		defect == DEFECT_EPOCH_IGNORED || g_rand_boolean(s->rand);
	event_queue_init(&s->events, gang_sim_event_free);
	s->started_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->holder = -1;
	g_queue_init(&s->trace);
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_init(&s->workers[i], i);
	for (guint i = 0; i < NODES; i++)
		gang_sim_open_node(s, i);
}

void gang_sim_close(struct gang_sim *s)
{
	for (guint i = 0; i < NODES; i++)
		gang_sim_close_node(s, i);
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_clear(&s->workers[i]);
	for (guint i = 0; i < JOBS; i++)
		job_record_clear(&s->rows[i].record);
	event_queue_clear(&s->events);
	g_hash_table_unref(s->started_tasks);
	g_queue_clear_full(&s->trace, g_free);
	g_rand_free(s->rand);
	g_free(s->violation);
}
