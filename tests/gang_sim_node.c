/*
 * Nodes of the gang simulation: starts, ticks and ends the processes.
 */
#include "tests/gang_sim_internal.h"

static const struct scheduler_ops sim_ops = {
	.call_worker = gang_sim_call_worker,
	.write_row = gang_sim_write_row,
	.read_row = gang_sim_read_row,
	.scan_rows = gang_sim_scan_rows,
};

static gboolean is_same(const struct scheduler_stats *a,
			const struct scheduler_stats *b)
{
	return a->phase == b->phase && a->epoch == b->epoch &&
	       a->workers == b->workers &&
	       a->usable_workers == b->usable_workers &&
	       a->quarantined_workers == b->quarantined_workers &&
	       a->queued == b->queued && a->gangs == b->gangs &&
	       a->recoveries == b->recoveries &&
	       a->recovery_ms == b->recovery_ms;
}

/*
 * Runs a tick of the scheduler. Checks that a tick before scheduler_due_ms()
 * does nothing, so that leaving it out delays no deadline.
 */
static void tick_scheduler(struct gang_sim *s, struct sim_node *n)
{
	int64_t due_ms = scheduler_due_ms(n->scheduler, s->now_ms);
	struct scheduler_stats before;
	struct scheduler_stats after;
	guint op_count = n->op_count;

	scheduler_get_stats(n->scheduler, &before);
	scheduler_tick(n->scheduler, s->now_ms, s->now_ms);
	scheduler_get_stats(n->scheduler, &after);
	if (due_ms <= s->now_ms)
		return;
	s->idle_ticks++;
	if (n->op_count != op_count || !is_same(&before, &after))
		gang_sim_violate(s, "tick acts before it is due",
				 scheduler_phase_name(after.phase));
}

void gang_sim_tick_node(struct gang_sim *s, guint node)
{
	struct scheduler *x = s->nodes[node].scheduler;
	enum pool_role role;
	int64_t epoch;

	role = gang_sim_role(s, node, &epoch);
	if (role != POOL_ROLE_NONE && role != s->nodes[node].role)
		s->takeover_ms = s->now_ms;
	s->nodes[node].role = role;
	scheduler_set_role(x, role, epoch, s->now_ms);
	if (role == POOL_ROLE_HOLDER && s->now_ms % 1000 < TICK_MS)
		gang_sim_scan_rows(&s->nodes[node]);
	tick_scheduler(s, &s->nodes[node]);
	gang_sim_tick_delegate(s, &s->nodes[node]);
	gang_sim_post(s, gang_sim_event_new(s, EVENT_TICK, node), TICK_MS);
}

void gang_sim_open_node(struct gang_sim *s, guint node)
{
	struct sim_node *n = &s->nodes[node];
	char incarnation[32];
	struct scheduler_spec spec = {
		.pool = "salkhi.tov-a",
		.node = n->name,
		.incarnation = incarnation,
		.policy = PLACEMENT_POLICY_DEFAULT,
		.always_share_renewals = TRUE,
		.ops = &sim_ops,
		.data = n,
	};
	struct listed_worker list[WORKERS];

	n->sim = s;
	n->index = node;
	n->incarnation++;
	n->lease_until_ms = 0;
	n->role = POOL_ROLE_NONE;
	g_snprintf(incarnation, sizeof(incarnation), "n%u-%u", node,
		   n->incarnation);
	g_snprintf(n->name, sizeof(n->name), "n%u", node);
	n->scheduler = scheduler_new(&spec);
	n->delegate = renewal_delegate_new(spec.pool);
	for (guint i = 0; i < WORKERS; i++)
		list[i] = (struct listed_worker){
			.spec = { .name = s->workers[i].name,
				  .rack = "r",
				  .address = "127.0.0.1:1",
				  .accelerators = 2,
				  .cores = 2,
				  .memory_mb = 2 },
		};
	scheduler_on_worker_list(n->scheduler, list, WORKERS, s->now_ms);
	gang_sim_post(s, gang_sim_event_new(s, EVENT_TICK, node), 1);
}

void gang_sim_close_node(struct gang_sim *s, guint node)
{
	scheduler_free(s->nodes[node].scheduler);
	renewal_delegate_free(s->nodes[node].delegate);
}

void gang_sim_crash_node(struct gang_sim *s, guint node)
{
	gang_sim_trace(s, "n%u crashes", node);
	gang_sim_close_node(s, node);
	gang_sim_open_node(s, node);
}
