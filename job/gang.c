#include "job/gang.h"

#include "job/task_name.h"

static const char *const state_names[GANG_STATE_COUNT] = {
	[GANG_CLEARING] = "clearing",
	[GANG_RESERVING] = "reserving",
	[GANG_COMMITTING] = "committing",
	[GANG_STARTING] = "starting",
	[GANG_RUNNING] = "running",
	[GANG_CHECKPOINTING] = "checkpointing",
	[GANG_ENDING] = "ending",
	[GANG_ENDED] = "ended",
};

static const char *const outcome_names[GANG_OUTCOME_COUNT] = {
	[GANG_OUTCOME_NONE] = "none",
	[GANG_OUTCOME_DONE] = "done",
	[GANG_OUTCOME_TASK_FAILED] = "task failed",
	[GANG_OUTCOME_REFUSED] = "refused by worker",
	[GANG_OUTCOME_LOST] = "worker or lease lost",
	[GANG_OUTCOME_TIMEOUT] = "step took too long",
	[GANG_OUTCOME_PREEMPTED] = "preempted",
	[GANG_OUTCOME_CANCELLED] = "cancelled",
	[GANG_OUTCOME_ROW_CHANGED] = "row changed",
};

static const char *const member_names[MEMBER_STATE_COUNT] = {
	[MEMBER_WAITING] = "waiting",
	[MEMBER_RESERVING] = "reserving",
	[MEMBER_RESERVED] = "reserved",
	[MEMBER_UNKNOWN] = "unknown",
	[MEMBER_STARTING] = "starting",
	[MEMBER_RUNNING] = "running",
	[MEMBER_CHECKPOINTING] = "checkpointing",
	[MEMBER_CHECKPOINTED] = "checkpointed",
	[MEMBER_RELEASING] = "releasing",
	[MEMBER_STOPPING] = "stopping",
	[MEMBER_DONE] = "done",
	[MEMBER_GONE] = "gone",
};

/** Properties of a member state. */
struct member_traits {
	gboolean is_over; /**< can no longer run */
	gboolean may_run; /**< a start command may have been sent */
	guint op_count;	  /**< number of commands to send */
	enum worker_op ops[2];
};

static const struct member_traits traits[MEMBER_STATE_COUNT] = {
	[MEMBER_RESERVING] = { .op_count = 1, .ops = { WORKER_RESERVE } },
	[MEMBER_UNKNOWN] = { .may_run = TRUE },
	[MEMBER_STARTING] = { .may_run = TRUE,
			      .op_count = 1,
			      .ops = { WORKER_START } },
	[MEMBER_RUNNING] = { .may_run = TRUE },
	[MEMBER_CHECKPOINTING] = { .may_run = TRUE,
				   .op_count = 1,
				   .ops = { WORKER_CHECKPOINT } },
	[MEMBER_CHECKPOINTED] = { .may_run = TRUE },
	[MEMBER_RELEASING] = { .op_count = 1, .ops = { WORKER_RELEASE } },
	/* The release makes a start that arrives late fail. */
	[MEMBER_STOPPING] = { .may_run = TRUE,
			      .op_count = 2,
			      .ops = { WORKER_STOP, WORKER_RELEASE } },
	[MEMBER_DONE] = { .is_over = TRUE },
	[MEMBER_GONE] = { .is_over = TRUE },
};

const char *gang_state_name(enum gang_state state)
{
	return state_names[state];
}

const char *gang_outcome_name(enum gang_outcome outcome)
{
	return outcome_names[outcome];
}

const char *gang_member_state_name(enum member_state state)
{
	return member_names[state];
}

static struct gang_member *member_of(const struct gang *g, guint index)
{
	return &g_array_index(g->members, struct gang_member, index);
}

static void set_member(struct gang_member *m, enum member_state state,
		       int64_t now_ms)
{
	m->state = state;
	m->state_since_ms = now_ms;
}

static void set_members(struct gang *g, enum member_state from,
			enum member_state to, int64_t now_ms)
{
	for (guint i = 0; i < g->members->len; i++) {
		if (member_of(g, i)->state == from)
			set_member(member_of(g, i), to, now_ms);
	}
}

static gboolean all_members_in(const struct gang *g, guint states)
{
	for (guint i = 0; i < g->members->len; i++) {
		if (!(states & (1U << member_of(g, i)->state)))
			return FALSE;
	}
	return TRUE;
}

static void set_gang_state(struct gang *g, enum gang_state state,
			   int64_t deadline_ms)
{
	g->state = state;
	g->deadline_ms = deadline_ms;
}

static void add_member(struct gang *g, const char *worker, int64_t count,
		       int64_t now_ms)
{
	struct gang_member m = {
		.worker = g_strdup(worker),
		.task = task_name_format(g->job, g->members->len, count,
					 g->attempt),
		.state_since_ms = now_ms,
	};

	g_array_append_val(g->members, m);
}

struct gang *gang_new(const struct job_record *r, const GPtrArray *workers,
		      int64_t attempt, int64_t now_ms)
{
	struct gang *g = g_new0(struct gang, 1);

	g->job = g_strdup(r->id);
	g->attempt = attempt;
	g->is_checkpointable = r->is_checkpointable != 0;
	g->members = g_array_new(FALSE, TRUE, sizeof(struct gang_member));
	for (guint i = 0; i < workers->len; i++)
		add_member(g, workers->pdata[i], workers->len, now_ms);
	return g;
}

struct gang *gang_recover(const struct job_record *r, int64_t now_ms)
{
	struct gang *g = gang_new(r, r->placement, r->attempt, now_ms);

	set_members(g, MEMBER_WAITING, MEMBER_UNKNOWN, now_ms);
	set_gang_state(g, GANG_STARTING, 0);
	return g;
}

void gang_free(struct gang *g)
{
	for (guint i = 0; i < g->members->len; i++) {
		g_free(member_of(g, i)->worker);
		g_free(member_of(g, i)->task);
	}
	g_array_unref(g->members);
	g_free(g->cause);
	g_free(g->job);
	g_free(g);
}

/* Enters the next state once all members meet the current one's condition. */
static void advance_state(struct gang *g, int64_t now_ms)
{
	const guint started = 1U << MEMBER_RUNNING | 1U << MEMBER_DONE;
	const guint saved = 1U << MEMBER_CHECKPOINTED | 1U << MEMBER_DONE;
	const guint over = 1U << MEMBER_DONE | 1U << MEMBER_GONE;

	if (g->state == GANG_RESERVING &&
	    all_members_in(g, 1U << MEMBER_RESERVED))
		set_gang_state(g, GANG_COMMITTING,
			       now_ms + GANG_COMMIT_TIMEOUT_MS);
	if (g->state == GANG_STARTING && all_members_in(g, started))
		set_gang_state(g, GANG_RUNNING, 0);
	if (g->state >= GANG_RUNNING && all_members_in(g, 1U << MEMBER_DONE)) {
		g->outcome = GANG_OUTCOME_DONE;
		set_gang_state(g, GANG_ENDED, 0);
	}
	if (g->state == GANG_CHECKPOINTING && all_members_in(g, saved))
		gang_abort(g, GANG_OUTCOME_PREEMPTED, "", now_ms);
	if (g->state == GANG_ENDING && all_members_in(g, over))
		set_gang_state(g, GANG_ENDED, 0);
}

void gang_abort(struct gang *g, enum gang_outcome outcome, const char *cause,
		int64_t now_ms)
{
	if (g->state >= GANG_ENDING)
		return;
	g->outcome = outcome;
	g->cause = g_strdup(cause);
	set_gang_state(g, GANG_ENDING, 0);
	for (guint i = 0; i < g->members->len; i++) {
		struct gang_member *m = member_of(g, i);

		if (m->state == MEMBER_WAITING)
			set_member(m, MEMBER_GONE, now_ms);
		else if (traits[m->state].may_run)
			set_member(m, MEMBER_STOPPING, now_ms);
		else if (!traits[m->state].is_over)
			set_member(m, MEMBER_RELEASING, now_ms);
	}
	advance_state(g, now_ms);
}

void gang_reserve(struct gang *g, int64_t now_ms)
{
	if (g->state != GANG_CLEARING)
		return;
	set_gang_state(g, GANG_RESERVING, now_ms + GANG_RESERVE_TIMEOUT_MS);
	set_members(g, MEMBER_WAITING, MEMBER_RESERVING, now_ms);
}

void gang_on_committed(struct gang *g, int64_t now_ms)
{
	if (g->state != GANG_COMMITTING)
		return;
	set_gang_state(g, GANG_STARTING, now_ms + GANG_START_TIMEOUT_MS);
	set_members(g, MEMBER_RESERVED, MEMBER_STARTING, now_ms);
}

static gboolean has_checkpoints(const struct gang *g)
{
	for (guint i = 0; i < g->members->len; i++) {
		if (member_of(g, i)->state == MEMBER_CHECKPOINTED)
			return TRUE;
	}
	return FALSE;
}

/* Requests the missing checkpoints and starts the grace period. */
static void request_checkpoints(struct gang *g, int64_t now_ms)
{
	set_gang_state(g, GANG_CHECKPOINTING,
		       now_ms + GANG_CHECKPOINT_GRACE_MS);
	set_members(g, MEMBER_RUNNING, MEMBER_CHECKPOINTING, now_ms);
	advance_state(g, now_ms);
}

void gang_adopt(struct gang *g, int64_t now_ms)
{
	if (g->state != GANG_STARTING)
		return;
	if (has_checkpoints(g))
		request_checkpoints(g, now_ms);
	else
		gang_abort(g, GANG_OUTCOME_LOST, "found in part", now_ms);
}

static void on_reserve(struct gang *g, struct gang_member *m,
		       gboolean is_refused, int64_t now_ms)
{
	if (m->state != MEMBER_RESERVING)
		return;
	set_member(m, is_refused ? MEMBER_GONE : MEMBER_RESERVED, now_ms);
	if (is_refused)
		gang_abort(g, GANG_OUTCOME_REFUSED, m->worker, now_ms);
}

static void on_start(struct gang *g, struct gang_member *m, gboolean is_refused,
		     int64_t now_ms)
{
	if (m->state != MEMBER_STARTING)
		return;
	if (is_refused)
		gang_abort(g, GANG_OUTCOME_REFUSED, m->worker, now_ms);
	else
		set_member(m, MEMBER_RUNNING, now_ms);
}

static void on_checkpoint(struct gang_member *m, gboolean is_refused,
			  int64_t now_ms)
{
	if (m->state != MEMBER_CHECKPOINTING || is_refused)
		return;
	set_member(m, MEMBER_CHECKPOINTED, now_ms);
	m->checkpoint_remaining_ms = m->reported_remaining_ms;
}

void gang_on_result(struct gang *g, guint member, enum worker_op op,
		    gboolean is_refused, int64_t now_ms)
{
	struct gang_member *m = member_of(g, member);

	if (op == WORKER_RESERVE)
		on_reserve(g, m, is_refused, now_ms);
	else if (op == WORKER_START)
		on_start(g, m, is_refused, now_ms);
	else if (op == WORKER_CHECKPOINT)
		on_checkpoint(m, is_refused, now_ms);
	else if (op == WORKER_RELEASE &&
		 (m->state == MEMBER_RELEASING || m->state == MEMBER_STOPPING))
		set_member(m, MEMBER_GONE, now_ms);
	advance_state(g, now_ms);
}

/* Aborts the gang because one task ended without completing. */
static void on_task_ended(struct gang *g, struct gang_member *m,
			  enum gang_outcome outcome, int64_t now_ms)
{
	set_member(m, MEMBER_GONE, now_ms);
	gang_abort(g, outcome, m->worker, now_ms);
}

void gang_on_task(struct gang *g, guint member, enum task_state state,
		  int64_t remaining_ms, int64_t now_ms)
{
	struct gang_member *m = member_of(g, member);

	if (state == TASK_FAILED)
		m->has_failed = TRUE;
	if (traits[m->state].is_over || m->state == MEMBER_WAITING)
		return;
	if (state == TASK_RUNNING) {
		m->reported_remaining_ms = remaining_ms;
		/*
		 * Reports lag: this one is from before the checkpoint, at which
		 * no more work remained. 0 would mean no checkpoint.
		 */
		if (m->checkpoint_remaining_ms > remaining_ms)
			m->checkpoint_remaining_ms = MAX(remaining_ms, 1);
	}
	if (state == TASK_DONE)
		set_member(m, MEMBER_DONE, now_ms);
	else if (state == TASK_FAILED)
		on_task_ended(g, m, GANG_OUTCOME_TASK_FAILED, now_ms);
	else if (state == TASK_STOPPED)
		on_task_ended(g, m, GANG_OUTCOME_LOST, now_ms);
	else if (state == TASK_RUNNING &&
		 (m->state == MEMBER_STARTING || m->state == MEMBER_UNKNOWN))
		set_member(m, MEMBER_RUNNING, now_ms);
	else if (state == TASK_CHECKPOINTED &&
		 (m->state == MEMBER_CHECKPOINTING ||
		  m->state == MEMBER_UNKNOWN)) {
		set_member(m, MEMBER_CHECKPOINTED, now_ms);
		m->checkpoint_remaining_ms = remaining_ms;
	}
	advance_state(g, now_ms);
}

void gang_on_task_missing(struct gang *g, guint member, int64_t as_of_ms,
			  int64_t now_ms)
{
	struct gang_member *m = member_of(g, member);
	gboolean is_expected;

	is_expected = m->state == MEMBER_RESERVED ||
		      (traits[m->state].may_run && m->state != MEMBER_STOPPING);
	if (is_expected && as_of_ms > m->state_since_ms)
		on_task_ended(g, m, GANG_OUTCOME_LOST, now_ms);
	advance_state(g, now_ms);
}

void gang_on_worker_lost(struct gang *g, const char *worker, int64_t now_ms)
{
	gang_abort(g, GANG_OUTCOME_LOST, worker, now_ms);
	for (guint i = 0; i < g->members->len; i++) {
		struct gang_member *m = member_of(g, i);

		/* No start was ever sent, so the member can't run. */
		if (m->state == MEMBER_RELEASING &&
		    g_str_equal(m->worker, worker))
			set_member(m, MEMBER_GONE, now_ms);
	}
	advance_state(g, now_ms);
}

void gang_on_worker_expired(struct gang *g, const char *worker, int64_t now_ms)
{
	for (guint i = 0; i < g->members->len; i++) {
		struct gang_member *m = member_of(g, i);

		if (!traits[m->state].is_over && g_str_equal(m->worker, worker))
			on_task_ended(g, m, GANG_OUTCOME_LOST, now_ms);
	}
	advance_state(g, now_ms);
}

void gang_preempt(struct gang *g, int64_t now_ms)
{
	if (g->state != GANG_RUNNING || !g->is_checkpointable) {
		gang_abort(g, GANG_OUTCOME_PREEMPTED, "", now_ms);
		return;
	}
	request_checkpoints(g, now_ms);
}

void gang_tick(struct gang *g, int64_t now_ms)
{
	gboolean is_grace = g->state == GANG_CHECKPOINTING;

	if (!g->deadline_ms || now_ms < g->deadline_ms)
		return;
	gang_abort(g, is_grace ? GANG_OUTCOME_PREEMPTED : GANG_OUTCOME_TIMEOUT,
		   gang_state_name(g->state), now_ms);
}

guint gang_member_ops(const struct gang *g, guint member, enum worker_op *ops)
{
	const struct member_traits *t = &traits[member_of(g, member)->state];

	for (guint i = 0; i < t->op_count; i++)
		ops[i] = t->ops[i];
	return t->op_count;
}

gboolean gang_member_may_run(const struct gang *g, guint member)
{
	return traits[member_of(g, member)->state].may_run;
}

int64_t gang_remaining_ms(const struct gang *g, int64_t fallback_ms)
{
	int64_t remaining_ms = 0;

	for (guint i = 0; i < g->members->len; i++) {
		const struct gang_member *m = member_of(g, i);

		if (m->state != MEMBER_DONE && m->checkpoint_remaining_ms == 0)
			return fallback_ms;
		remaining_ms = MAX(remaining_ms, m->checkpoint_remaining_ms);
	}
	return remaining_ms ? remaining_ms : fallback_ms;
}
