/*
 * Table of the gang simulation: the jobs' rows and the pool's lease.
 */
#include "tests/gang_sim_internal.h"

gboolean gang_sim_is_table_down(const struct gang_sim *s)
{
	return s->now_ms < s->table_down_until_ms;
}

/* Follows the rules of shared/pool_lease.h. */
enum pool_role gang_sim_role(const struct gang_sim *s, guint node,
			     int64_t *epoch)
{
	const struct sim_node *n = &s->nodes[node];

	*epoch = n->epoch;
	if (s->now_ms < n->lease_until_ms)
		return POOL_ROLE_HOLDER;
	*epoch = s->epoch;
	if (gang_sim_is_table_down(s) &&
	    s->now_ms > s->lease_until_ms + CARETAKER_AFTER_MS)
		return POOL_ROLE_CARETAKER;
	*epoch = 0;
	return POOL_ROLE_NONE;
}

void gang_sim_write_row(const char *id, int64_t call_id,
			const struct job_record *r, int64_t expected_version,
			void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct sim_event *timeout =
		gang_sim_event_new(s, EVENT_WRITE_ANSWER, n->index);
	struct sim_event *e;

	n->op_count++;
	timeout->job = gang_sim_job_index(id);
	timeout->call_id = call_id;
	timeout->status = STATUS_UNKNOWN;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (gang_sim_has_faults(s) && gang_sim_chance(s, 3))
		return;
	e = gang_sim_event_new(s, EVENT_WRITE, n->index);
	e->job = gang_sim_job_index(id);
	e->call_id = call_id;
	e->version = expected_version;
	job_record_copy(&e->record, r);
	e->is_answered = !gang_sim_has_faults(s) || !gang_sim_chance(s, 8);
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

void gang_sim_read_row(const char *id, int64_t call_id, void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct sim_event *e =
		gang_sim_event_new(s, EVENT_READ_ANSWER, n->index);
	const struct sim_row *row = &s->rows[gang_sim_job_index(id)];

	n->op_count++;
	e->job = gang_sim_job_index(id);
	e->call_id = call_id;
	e->status = gang_sim_is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	if (row->exists) {
		e->version = row->version;
		job_record_copy(&e->record, &row->record);
	}
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

void gang_sim_scan_rows(void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct sim_event *e =
		gang_sim_event_new(s, EVENT_SCAN_ANSWER, n->index);

	n->op_count++;
	e->status = gang_sim_is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	for (guint i = 0; i < JOBS; i++) {
		if (!s->rows[i].exists)
			continue;
		e->rows[i].exists = TRUE;
		e->rows[i].version = s->rows[i].version;
		job_record_copy(&e->rows[i].record, &s->rows[i].record);
	}
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

void gang_sim_on_write(struct gang_sim *s, struct sim_event *e)
{
	struct sim_row *row = &s->rows[e->job];
	struct sim_event *answer;
	gboolean is_current = e->version == row->version ||
			      s->defect == DEFECT_VERSION_IGNORED;

	if (gang_sim_is_table_down(s))
		return;
	gang_sim_trace(s, "n%u write %s %s attempt %d: %s", e->node,
		       e->record.id, job_state_names[e->record.state],
		       (int)e->record.attempt,
		       is_current ? "done" : "conflict");
	if (is_current) {
		job_record_clear(&row->record);
		job_record_copy(&row->record, &e->record);
		row->version = ++s->last_version;
	}
	if (!e->is_answered)
		return;
	answer = gang_sim_event_new(s, EVENT_WRITE_ANSWER, e->node);
	answer->incarnation = e->incarnation;
	answer->job = e->job;
	answer->call_id = e->call_id;
	answer->status = is_current ? STATUS_OK : STATUS_CONFLICT;
	answer->version = row->version;
	gang_sim_post(s, answer, gang_sim_network_ms(s));
}

void gang_sim_on_scan_answer(struct gang_sim *s, struct sim_event *e)
{
	struct scheduler *x = s->nodes[e->node].scheduler;

	for (guint i = 0; e->status == STATUS_OK && i < JOBS; i++) {
		if (e->rows[i].exists)
			scheduler_on_row(x, e->rows[i].version,
					 &e->rows[i].record, s->now_ms);
	}
	scheduler_on_scanned(x, e->status, s->now_ms);
}

static void extend_lease(struct gang_sim *s)
{
	struct sim_node *n = &s->nodes[s->holder];

	s->lease_until_ms = s->now_ms + LEASE_MS;
	n->epoch = s->epoch;
	n->lease_until_ms = s->lease_until_ms;
	if (s->has_lease_overrun)
		n->lease_until_ms += LEASE_OVERRUN_MS;
}

void gang_sim_lease_step(struct gang_sim *s)
{
	gboolean is_cut = s->now_ms < s->holder_cut_until_ms;

	if (gang_sim_is_table_down(s))
		return;
	if (s->holder >= 0 && s->now_ms < s->lease_until_ms) {
		if (!is_cut && s->now_ms >= s->nodes[s->holder].paused_until_ms)
			extend_lease(s);
		return;
	}
	s->holder = g_rand_int_range(s->rand, 0, NODES);
	s->epoch++;
	extend_lease(s);
	gang_sim_trace(s, "n%d holds epoch %d", s->holder, (int)s->epoch);
}
