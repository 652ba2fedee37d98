#include "tests/lease_world.h"

#include "store/platform.h"

#define PROCESSES 3
#define WORKERS 2
#define TICK_MS 100
/** Time after which the caller gives up on a table call without an answer. */
#define TIMEOUT_MS 1000
#define LONGEST_CALL_MS 6000
#define LONGEST_COMMAND_MS 3000
#define LONGEST_PAUSE_MS 9000
#define LONGEST_OUTAGE_MS 12000
/** Range from which each seed draws its longest time between two faults. */
#define FAULT_INTERVAL_MIN_MS 1000
#define FAULT_INTERVAL_MAX_MS 12000
/** Longest time from a release to the next holder, without faults. */
#define LONGEST_HANDOVER_MS (LEASE_POLL_MS + 2 * LEASE_RENEW_MS)
/** Largest deviation of a clock rate from 1, in thousandths. */
#define RATE_PERMILLE 55

struct world;

struct process {
	struct world *world;
	guint index;
	guint restarts; /* number of the incarnation */
	struct lease_protocol protocol;
	/* lease_protocol_due_ms() after its last event or tick, on its clock */
	int64_t due_ms;
	enum pool_role role;
	int64_t epoch;
	int64_t offset_ms;     /* of its clock from virtual time */
	int64_t rate_permille; /* of its clock; 1000: that of virtual time */
	int64_t paused_until_ms;
	int64_t cut_until_ms; /* its calls don't reach the table */
};

struct worker {
	int64_t highest_epoch; /* of all commands received */
	int64_t obeyed_epoch;  /* of the last command obeyed */
};

struct world {
	struct explorer *e;
	struct lease_defects defects;
	struct process processes[PROCESSES];
	struct worker workers[WORKERS];
	int64_t row_version;
	struct lease_row row;
	int64_t last_version;  /* last row version assigned */
	int64_t table_epoch;   /* epoch in the row */
	int64_t down_until_ms; /* end of the table's outage */
	GHashTable *actors;    /* epoch to the incarnation that acted with it */
	int64_t fault_interval_ms; /* longest time between faults */
	int64_t last_held_ms;	   /* when a process last was the holder */
	gboolean is_healed;
};

/* A table call in flight. */
struct call {
	struct process *process;
	guint restarts; /* of the process when it made the call */
	enum lease_call kind;
	struct lease_row writing; /* row to commit */
	int64_t expected_version;
	gboolean is_answered;
	enum status status;
	int64_t version;
	struct lease_row row;
	gboolean has_row;
	guint ref_count; /* events that refer to it */
};

struct command {
	struct world *world;
	guint worker;
	int64_t epoch;
};

static int64_t local_ms(const struct process *p)
{
	return p->offset_ms + p->world->e->now_ms * p->rate_permille / 1000;
}

static gboolean is_paused(const struct process *p)
{
	return p->world->e->now_ms < p->paused_until_ms;
}

/* Must be called after each event of the process. */
static void record_due(struct process *p)
{
	p->due_ms = lease_protocol_due_ms(&p->protocol, local_ms(p));
	p->role = lease_protocol_role(&p->protocol, local_ms(p), &p->epoch);
}

/* A tick before the due time must cause no call and no change of role. */
static void check_due(struct process *p, enum pool_role role, int64_t epoch,
		      enum lease_call kind)
{
	if (p->due_ms <= local_ms(p))
		return;
	if (kind != LEASE_CALL_NONE || role != p->role || epoch != p->epoch)
		explorer_fail(p->world->e, "p%u acts before it is due",
			      p->index);
}

static void set_rank(struct process *p, guint rank)
{
	lease_protocol_set_rank(&p->protocol, local_ms(p), rank);
	record_due(p);
}

static void start_process(struct process *p)
{
	char *node = g_strdup_printf("p%u", p->index);
	char *incarnation = g_strdup_printf("p%u.%u", p->index, p->restarts);

	p->offset_ms = explorer_range(p->world->e, 0, 1000000);
	p->rate_permille = 1000 + explorer_range(p->world->e, -RATE_PERMILLE,
						 RATE_PERMILLE + 1);
	lease_protocol_init(&p->protocol, node, incarnation, "a", local_ms(p));
	p->protocol.rules = &p->world->defects.rules;
	set_rank(p, p->index);
	g_free(node);
	g_free(incarnation);
}

static void call_unref(gpointer data)
{
	struct call *c = data;

	if (--c->ref_count > 0)
		return;
	lease_row_clear(&c->writing);
	lease_row_clear(&c->row);
	g_free(c);
}

static void finish_call(struct call *c, enum status status)
{
	struct process *p = c->process;

	if (c->is_answered || c->restarts != p->restarts)
		return;
	c->is_answered = TRUE;
	explorer_trace(p->world->e, "p%u %s -> %s", p->index,
		       c->kind == LEASE_CALL_READ ? "read" : "commit",
		       status_name(status));
	if (c->kind == LEASE_CALL_READ)
		lease_protocol_on_read(&p->protocol, local_ms(p), status,
				       c->version, c->has_row ? &c->row : NULL);
	else
		lease_protocol_on_commit(&p->protocol, local_ms(p), status,
					 c->version);
	record_due(p);
}

/* Schedules an event of a paused process for the end of its pause. */
static void postpone(struct call *c, explorer_fn fn)
{
	struct world *w = c->process->world;

	c->ref_count++;
	explorer_schedule(w->e, c->process->paused_until_ms - w->e->now_ms, fn,
			  c, call_unref);
}

static void on_answer(void *data)
{
	struct call *c = data;

	if (is_paused(c->process))
		postpone(c, on_answer);
	else
		finish_call(c, c->status);
}

static void on_timeout(void *data)
{
	struct call *c = data;

	if (is_paused(c->process))
		postpone(c, on_timeout);
	else
		finish_call(c, c->kind == LEASE_CALL_READ ? STATUS_UNAVAILABLE
							  : STATUS_UNKNOWN);
}

static enum status apply_commit(struct world *w, struct call *c)
{
	if (c->expected_version != w->row_version)
		return STATUS_CONFLICT;
	if (c->writing.epoch < w->table_epoch)
		explorer_fail(w->e, "epoch of the lease row falls");
	w->table_epoch = c->writing.epoch;
	w->row_version = ++w->last_version;
	lease_row_copy(&w->row, &c->writing);
	c->version = w->row_version;
	explorer_trace(w->e, "table: %s epoch %" G_GINT64_FORMAT,
		       w->row.holder[0] ? w->row.incarnation : "released",
		       w->row.epoch);
	return STATUS_OK;
}

/* The call reaches the table. */
static void on_effect(void *data)
{
	struct call *c = data;
	struct world *w = c->process->world;

	if (w->e->now_ms < w->down_until_ms ||
	    w->e->now_ms < c->process->cut_until_ms)
		return;
	if (c->kind == LEASE_CALL_COMMIT) {
		c->status = apply_commit(w, c);
	} else {
		c->version = w->row_version;
		c->has_row = w->row_version != TABLE_ABSENT;
		c->status = c->has_row ? STATUS_OK : STATUS_NOT_FOUND;
		if (c->has_row)
			lease_row_copy(&c->row, &w->row);
	}
	if (!w->is_healed && explorer_chance(w->e, 0.05))
		return; /* the answer is lost */
	c->ref_count++;
	explorer_schedule(w->e, explorer_delay(w->e, TIMEOUT_MS), on_answer, c,
			  call_unref);
}

static void start_call(struct process *p, enum lease_call kind)
{
	struct world *w = p->world;
	struct call *c = g_new0(struct call, 1);
	int64_t longest_ms = w->is_healed ? 20 : LONGEST_CALL_MS;

	c->process = p;
	c->restarts = p->restarts;
	c->kind = kind;
	c->expected_version = p->protocol.expected_version;
	if (kind == LEASE_CALL_COMMIT)
		lease_row_copy(&c->writing, &p->protocol.writing);
	c->ref_count = 1;
	if (!explorer_chance(w->e, w->is_healed ? 0 : 0.05)) {
		c->ref_count++;
		explorer_schedule(w->e, explorer_delay(w->e, longest_ms),
				  on_effect, c, call_unref);
	}
	explorer_schedule(w->e, TIMEOUT_MS, on_timeout, c, call_unref);
}

static void on_command(void *data)
{
	struct command *c = data;
	struct world *w = c->world;
	struct worker *worker = &w->workers[c->worker];

	if (c->epoch < worker->highest_epoch &&
	    !w->defects.workers_ignore_epochs)
		return;
	worker->highest_epoch = MAX(worker->highest_epoch, c->epoch);
	if (c->epoch < worker->obeyed_epoch)
		explorer_fail(w->e,
			      "worker %u obeys epoch %" G_GINT64_FORMAT
			      " after %" G_GINT64_FORMAT,
			      c->worker, c->epoch, worker->obeyed_epoch);
	worker->obeyed_epoch = c->epoch;
}

static void send_command(struct process *p, guint worker, int64_t epoch)
{
	guint copies = explorer_chance(p->world->e, 0.1)   ? 0
		       : explorer_chance(p->world->e, 0.1) ? 2
							   : 1;

	for (guint i = 0; i < copies; i++) {
		struct command *c = g_new0(struct command, 1);

		c->world = p->world;
		c->worker = worker;
		c->epoch = epoch;
		explorer_schedule(
			p->world->e,
			explorer_delay(p->world->e, LONGEST_COMMAND_MS),
			on_command, c, g_free);
	}
}

static void act_as_holder(struct process *p, int64_t epoch)
{
	struct world *w = p->world;
	const char *actor =
		g_hash_table_lookup(w->actors, GINT_TO_POINTER((gint)epoch));

	if (!actor)
		g_hash_table_insert(w->actors, GINT_TO_POINTER((gint)epoch),
				    g_strdup(p->protocol.incarnation));
	else if (!g_str_equal(actor, p->protocol.incarnation))
		explorer_fail(w->e,
			      "%s and %s act with epoch %" G_GINT64_FORMAT,
			      actor, p->protocol.incarnation, epoch);
	for (guint i = 0; i < WORKERS; i++)
		send_command(p, i, epoch);
}

static void on_tick(void *data)
{
	struct process *p = data;
	enum pool_role role;
	int64_t epoch;
	enum lease_call kind;

	explorer_schedule(p->world->e, TICK_MS, on_tick, p, NULL);
	if (is_paused(p))
		return;
	role = lease_protocol_role(&p->protocol, local_ms(p), &epoch);
	if (role == POOL_ROLE_HOLDER)
		act_as_holder(p, epoch);
	kind = lease_protocol_step(&p->protocol, local_ms(p));
	check_due(p, role, epoch, kind);
	record_due(p);
	if (kind != LEASE_CALL_NONE)
		start_call(p, kind);
}

static void restart(struct process *p)
{
	lease_protocol_clear(&p->protocol);
	p->restarts++;
	start_process(p);
}

static void on_fault(void *data)
{
	struct world *w = data;
	struct process *p = &w->processes[explorer_range(w->e, 0, PROCESSES)];

	if (w->is_healed)
		return;
	switch (explorer_range(w->e, 0, 5)) {
	case 0:
		p->paused_until_ms = w->e->now_ms +
				     explorer_range(w->e, 0, LONGEST_PAUSE_MS);
		explorer_trace(w->e, "p%u pauses", p->index);
		break;
	case 1:
		explorer_trace(w->e, "p%u crashes and restarts", p->index);
		restart(p);
		break;
	case 2:
		w->down_until_ms = w->e->now_ms +
				   explorer_range(w->e, 0, LONGEST_OUTAGE_MS);
		explorer_trace(w->e, "table down");
		break;
	case 3:
		p->cut_until_ms = w->e->now_ms +
				  explorer_range(w->e, 0, LONGEST_OUTAGE_MS);
		explorer_trace(w->e, "p%u cut off from the table", p->index);
		break;
	default:
		set_rank(p, (guint)explorer_range(w->e, 0, 3));
		break;
	}
	explorer_schedule(w->e, explorer_range(w->e, 0, w->fault_interval_ms),
			  on_fault, w, NULL);
}

static void *world_new(struct explorer *e, const void *defects)
{
	struct world *w = g_new0(struct world, 1);

	w->e = e;
	if (defects)
		w->defects = *(const struct lease_defects *)defects;
	else
		w->defects.rules = lease_rules_default;
	w->actors = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	for (guint i = 0; i < PROCESSES; i++) {
		w->processes[i].world = w;
		w->processes[i].index = i;
		start_process(&w->processes[i]);
		explorer_schedule(e, explorer_range(e, 0, TICK_MS), on_tick,
				  &w->processes[i], NULL);
	}
	w->fault_interval_ms =
		explorer_range(e, FAULT_INTERVAL_MIN_MS, FAULT_INTERVAL_MAX_MS);
	explorer_schedule(e, w->fault_interval_ms, on_fault, w, NULL);
	return w;
}

static guint count_holders(const struct world *w)
{
	guint holders = 0;

	for (guint i = 0; i < PROCESSES; i++) {
		const struct process *p = &w->processes[i];
		int64_t epoch;

		if (!is_paused(p) &&
		    lease_protocol_role(&p->protocol, local_ms(p), &epoch) ==
			    POOL_ROLE_HOLDER)
			holders++;
	}
	return holders;
}

static void world_check(void *data)
{
	struct world *w = data;
	guint holders = count_holders(w);

	if (holders > 0)
		w->last_held_ms = w->e->now_ms;
	if (holders > 1)
		explorer_fail(w->e, "two holders at once");
}

static void world_heal(void *data)
{
	struct world *w = data;

	w->is_healed = TRUE;
	w->down_until_ms = 0;
	for (guint i = 0; i < PROCESSES; i++) {
		struct process *p = &w->processes[i];

		p->paused_until_ms = 0;
		p->cut_until_ms = 0;
		set_rank(p, i);
	}
}

static void world_check_settled(void *data)
{
	struct world *w = data;

	if (w->e->now_ms - w->last_held_ms > LONGEST_HANDOVER_MS)
		explorer_fail(w->e, "no holder after the end of all faults");
}

static void world_free(void *data)
{
	struct world *w = data;

	for (guint i = 0; i < PROCESSES; i++)
		lease_protocol_clear(&w->processes[i].protocol);
	lease_row_clear(&w->row);
	g_hash_table_unref(w->actors);
	g_free(w);
}

const struct explorer_world lease_world = {
	.name = "lease",
	.new = world_new,
	.check = world_check,
	.heal = world_heal,
	.check_settled = world_check_settled,
	.free = world_free,
	.fault_phase_ms = 60000,
	.settle_phase_ms = 20000,
};
