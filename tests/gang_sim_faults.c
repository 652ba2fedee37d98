/*
 * Environment of the gang simulation: faults, submissions and cancellations.
 */
#include "tests/gang_sim_internal.h"

/*
 * Repeatedly cuts the holder off from a worker and from its peer; a grant that
 * never expires does harm only then.
 */
static void cut_holder(struct gang_sim *s)
{
	int64_t until_ms = s->now_ms + FAULT_MAX_MS;
	guint worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);

	if (!gang_sim_has_faults(s) || s->holder < 0 ||
	    s->now_ms < s->link_cut_until_ms + HOLDER_CUT_INTERVAL_MS)
		return;
	gang_sim_trace(s, "n%d cut off from w%u and its peer until %d",
		       s->holder, worker, (int)until_ms);
	s->nodes[s->holder].cut_until_ms[worker] = until_ms;
	s->link_cut_until_ms = until_ms;
}

void gang_sim_fault_step(struct gang_sim *s)
{
	guint node = (guint)g_rand_int_range(s->rand, 0, NODES);
	int64_t until_ms =
		s->now_ms + g_rand_int_range(s->rand, 100, FAULT_MAX_MS);
	guint worker;

	if (s->defect == DEFECT_GRANT_FOREVER) {
		cut_holder(s);
		return;
	}
	if (!gang_sim_has_faults(s) || !gang_sim_chance(s, 2))
		return;
	switch (g_rand_int_range(s->rand, 0, 8)) {
	case 0:
		gang_sim_crash_node(s, node);
		break;
	case 1:
		gang_sim_worker_crash(
			s, &s->workers[g_rand_int_range(s->rand, 0, WORKERS)]);
		break;
	case 2:
		gang_sim_trace(s, "n%u paused until %d", node, (int)until_ms);
		s->nodes[node].paused_until_ms = until_ms;
		break;
	case 3:
		gang_sim_trace(s, "table down until %d", (int)until_ms);
		s->table_down_until_ms = until_ms;
		break;
	case 4:
	case 5:
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		gang_sim_trace(s, "n%u cut off from w%u until %d", node, worker,
			       (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		break;
	case 6: /* cut off from a worker and from the other node */
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		gang_sim_trace(s, "n%u cut off from w%u and its peer until %d",
			       node, worker, (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		s->link_cut_until_ms = until_ms;
		break;
	default:
		gang_sim_trace(s, "holder can't renew its lease until %d",
			       (int)until_ms);
		s->holder_cut_until_ms = until_ms;
		break;
	}
}

void gang_sim_submit_step(struct gang_sim *s)
{
	guint i = (guint)g_rand_int_range(s->rand, 0, JOBS);
	struct sim_row *row = &s->rows[i];
	struct job_record *r = &row->record;

	if (row->exists && gang_sim_chance(s, 1) && gang_sim_has_faults(s) &&
	    !job_record_is_ended(r) && !gang_sim_is_table_down(s)) {
		r->is_cancelled = 1;
		g_free(r->commit_id);
		r->commit_id = g_strdup("caller");
		row->version = ++s->last_version;
		gang_sim_trace(s, "caller cancels j%u", i);
	}
	if (row->exists || !gang_sim_chance(s, 5))
		return;
	r->id = g_strdup_printf("j%u", i);
	r->pool = g_strdup("salkhi.tov-a");
	r->client_account = g_strdup("a");
	r->class = JOB_CLASS_NORMAL;
	r->shape = (struct shape){ g_rand_int_range(s->rand, 1, WORKERS + 1), 1,
				   1, 1, ADJACENCY_NONE };
	r->run_ms = g_rand_int_range(s->rand, 500, 40000);
	r->expected_run_ms = r->run_ms;
	r->placement = g_ptr_array_new_with_free_func(g_free);
	r->reason = g_strdup("");
	r->submitted_ms = s->now_ms;
	row->exists = TRUE;
	row->version = ++s->last_version;
	gang_sim_trace(s, "j%u submitted", i);
}
