#include "tests/member_world.h"

#include "shared/member_heartbeat.h"

#define PROCESSES 4
#define STEP_MS 250
#define STEPS_PER_HEARTBEAT (MEMBER_HEARTBEAT_MS / STEP_MS)
#define LONGEST_MESSAGE_MS 2500
#define FAULT_DURATION_MAX_MS 9000
#define FAULT_INTERVAL_MAX_MS 3000
#define LOSS_PROBABILITY 0.1
#define DUPLICATION_PROBABILITY 0.1

struct process {
	struct world *world;
	guint index;
	guint restarts; /* number of the incarnation */
	struct link_identity identity;
	struct member_table table;
	int64_t steps; /* number of steps made; times the heartbeats */
	int64_t paused_until_ms;
	int64_t sent[PROCESSES]; /* [to]: last change sent, even if lost */
	/* Its record of each member at the last check: no version may fall. */
	struct member_record known[PROCESSES];
};

struct world {
	struct explorer *e;
	struct member_defects defects;
	struct process processes[PROCESSES];
	int64_t cut_until_ms[PROCESSES][PROCESSES]; /* [from][to] */
	gboolean is_healed;
};

struct message {
	struct world *world;
	guint to;
	guint to_restarts; /* of the receiver when it was sent */
	struct link_identity from;
	struct heartbeat heartbeat;
};

static void message_free(gpointer data)
{
	struct message *m = data;

	link_identity_clear(&m->from);
	schema_clear(&heartbeat_schema, &m->heartbeat);
	g_free(m);
}

static void set_identity(struct process *p)
{
	link_identity_clear(&p->identity);
	p->identity.node = g_strdup_printf("n%u", p->index);
	p->identity.incarnation =
		g_strdup_printf("n%u.%u", p->index, p->restarts);
	p->identity.vm = g_strdup_printf("vm%u", p->index);
	p->identity.failure_domain = g_strdup("a");
	p->identity.http = g_strdup("127.0.0.1:1");
	p->identity.link = g_strdup_printf("127.0.0.1:%u", 10 + p->index);
	p->identity.role = LINK_ROLE_SCHEDULER;
}

/*
 * The generation is random: a real one is the start time by wall clock, and the
 * clock of a VM may be behind that of the VM that it replaces.
 */
static void start_process(struct process *p)
{
	struct world *w = p->world;

	set_identity(p);
	member_table_init(&p->table, &p->identity,
			  explorer_range(w->e, 1, 1000), w->e->now_ms);
	p->table.rules = &w->defects.rules;
	for (guint i = 0; i < PROCESSES; i++) {
		member_record_clear(&p->known[i]);
		p->sent[i] = 0;
	}
}

static void on_message(void *data)
{
	struct message *m = data;
	struct process *p = &m->world->processes[m->to];
	struct explorer *e = m->world->e;

	if (e->now_ms < p->paused_until_ms) {
		struct message *later = g_new0(struct message, 1);

		*later = *m;
		*m = (struct message){ 0 };
		explorer_schedule(e, p->paused_until_ms - e->now_ms, on_message,
				  later, message_free);
		return;
	}
	if (m->to_restarts == p->restarts)
		member_table_on_heartbeat(&p->table, e->now_ms, &m->from,
					  &m->heartbeat);
}

static void send_copy(struct process *p, guint to, const struct heartbeat *h)
{
	struct world *w = p->world;
	struct message *m = g_new0(struct message, 1);
	json_object *json = heartbeat_encode(h);
	struct finding_list findings;

	finding_list_init(&findings);
	schema_decode(&heartbeat_schema, json, &m->heartbeat, "", NULL,
		      &findings);
	finding_list_clear(&findings);
	json_object_put(json);
	m->world = w;
	m->to = to;
	m->to_restarts = w->processes[to].restarts;
	link_identity_copy(&m->from, &p->identity);
	explorer_schedule(
		w->e,
		w->is_healed ? 1 : explorer_delay(w->e, LONGEST_MESSAGE_MS),
		on_message, m, message_free);
}

/*
 * A lost heartbeat counts as sent; its changes reach the receiver only because
 * the views differ and all records are sent again.
 */
static void send_heartbeat(struct process *p, guint to)
{
	struct world *w = p->world;
	const char *node = w->processes[to].identity.node;
	gboolean is_full = member_heartbeat_needs_full(&p->table, node);
	struct heartbeat h = { 0 };

	member_heartbeat_fill(&p->table, w->e->now_ms,
			      is_full ? 0 : p->sent[to],
			      &w->processes[to].identity, &h);
	if (w->defects.ignore_views)
		h.view = MEMBER_VIEW_NONE;
	p->sent[to] = p->table.changes;
	if (is_full)
		member_heartbeat_record_full(&p->table, node);
	if (w->e->now_ms >= w->cut_until_ms[p->index][to]) {
		if (w->is_healed || !explorer_chance(w->e, LOSS_PROBABILITY))
			send_copy(p, to, &h);
		if (!w->is_healed &&
		    explorer_chance(w->e, DUPLICATION_PROBABILITY))
			send_copy(p, to, &h);
	}
	schema_clear(&heartbeat_schema, &h);
}

static void send_heartbeats(struct process *p)
{
	for (guint to = 0; to < PROCESSES; to++) {
		if (to != p->index)
			send_heartbeat(p, to);
	}
}

static void on_step(void *data)
{
	struct process *p = data;

	explorer_schedule(p->world->e, STEP_MS, on_step, p, NULL);
	if (p->world->e->now_ms < p->paused_until_ms)
		return;
	member_table_step(&p->table, p->world->e->now_ms);
	member_table_set_status(&p->table, p->world->e->now_ms / 5000);
	if (p->steps++ % STEPS_PER_HEARTBEAT == 0)
		send_heartbeats(p);
}

static void on_fault(void *data)
{
	struct world *w = data;
	guint a = (guint)explorer_range(w->e, 0, PROCESSES);
	guint b = (guint)explorer_range(w->e, 0, PROCESSES);
	int64_t until_ms =
		w->e->now_ms + explorer_range(w->e, 0, FAULT_DURATION_MAX_MS);
	struct process *p = &w->processes[a];

	if (w->is_healed)
		return;
	explorer_schedule(w->e, explorer_range(w->e, 0, FAULT_INTERVAL_MAX_MS),
			  on_fault, w, NULL);
	switch (explorer_range(w->e, 0, 3)) {
	case 0:
		explorer_trace(w->e, "n%u pauses", a);
		p->paused_until_ms = until_ms;
		break;
	case 1:
		explorer_trace(w->e, "n%u restarts", a);
		member_table_clear(&p->table);
		p->restarts++;
		start_process(p);
		break;
	default:
		explorer_trace(w->e, "link from n%u to n%u cut", a, b);
		w->cut_until_ms[a][b] = until_ms;
		break;
	}
}

static void *world_new(struct explorer *e, const void *defects)
{
	struct world *w = g_new0(struct world, 1);

	w->e = e;
	w->defects.rules = member_rules_default;
	if (defects)
		w->defects = *(const struct member_defects *)defects;
	for (guint i = 0; i < PROCESSES; i++) {
		w->processes[i].world = w;
		w->processes[i].index = i;
		start_process(&w->processes[i]);
		explorer_schedule(e, explorer_range(e, 0, MEMBER_HEARTBEAT_MS),
				  on_step, &w->processes[i], NULL);
	}
	explorer_schedule(e, FAULT_INTERVAL_MAX_MS, on_fault, w, NULL);
	return w;
}

static void check_record(struct process *p, guint index,
			 const struct member_record *now)
{
	struct member_record *before = &p->known[index];
	struct explorer *e = p->world->e;

	if (now->generation < before->generation)
		explorer_fail(e, "generation of a member falls");
	if (now->generation == before->generation) {
		if (now->state_version < before->state_version)
			explorer_fail(e, "version of a state falls");
		if (now->status_version < before->status_version)
			explorer_fail(e, "version of a status falls");
	}
	*before = *now;
	before->identity = (struct link_identity){ 0 };
}

static void world_check(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++) {
		struct process *p = &w->processes[i];

		for (guint j = 0; j < PROCESSES; j++) {
			const struct member *m;

			m = member_table_find(&p->table,
					      w->processes[j].identity.node);
			if (m)
				check_record(p, j, &m->record);
		}
		if (!member_is_live(p->table.self))
			explorer_fail(w->e, "a member considers itself dead");
	}
}

static void world_heal(void *data)
{
	struct world *w = data;

	w->is_healed = TRUE;
	for (guint i = 0; i < PROCESSES; i++) {
		w->processes[i].paused_until_ms = 0;
		for (guint j = 0; j < PROCESSES; j++)
			w->cut_until_ms[i][j] = 0;
	}
}

static void world_check_settled(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++) {
		for (guint j = 0; j < PROCESSES; j++) {
			const struct process *other = &w->processes[j];
			const struct member *m = member_table_find(
				&w->processes[i].table, other->identity.node);

			if (!m || m->record.state != MEMBER_ALIVE ||
			    !g_str_equal(m->record.identity.incarnation,
					 other->identity.incarnation))
				explorer_fail(w->e,
					      "n%u does not see n%u alive", i,
					      j);
		}
	}
}

static void world_free(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++) {
		member_table_clear(&w->processes[i].table);
		link_identity_clear(&w->processes[i].identity);
	}
	g_free(w);
}

const struct explorer_world member_world = {
	.name = "member",
	.new = world_new,
	.check = world_check,
	.heal = world_heal,
	.check_settled = world_check_settled,
	.free = world_free,
	.fault_phase_ms = 60000,
	.settle_phase_ms = 15000,
};
