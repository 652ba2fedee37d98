/*
 * Seeded exploration of the scheduler: two processes, workers and a table with
 * messages lost, delayed, doubled and out of order, with crashes, pauses and
 * outages, in virtual time. The process that does not hold the pool renews a
 * share of the workers for the other one. After every step it is checked that
 * no task starts twice or before its commitment, that attempts do not overlap,
 * and that no gang runs in part beyond the bound.
 */
#include <glib.h>
#include <string.h>

#include "job/gang.h"
#include "job/placement/placement.h"
#include "job/renewal_delegate.h"
#include "job/scheduler.h"
#include "job/task_name.h"
#include "job/worker_contact.h"

#define NODES 2
#define WORKERS 3
#define JOBS 4
#define SEEDS 1500
#define FAULTS_END_MS 60000
#define RUN_END_MS 300000
#define TICK_MS 50
#define CALL_TIMEOUT_MS 1000
#define LEASE_MS 4000
#define CARETAKER_AFTER_MS 5000
#define LATE_MS 3000
#define FAULT_MAX_MS 30000
#define PAST_LEASE_MS 40000
#define PLANTED_CALM_MS 10000
#define NETWORK_MS 5
#define TRACE_LINES 60
/* Calls may be under way for a while on top of the stated bound. */
#define PARTIAL_BOUND_MS                                                \
	(worker_partial_bound_ms(WORKERS, 1) + WORKER_CALL_TIMEOUT_MS + \
	 RENEWAL_GRANT_MS + LATE_MS)

/* What is taken out of the world, to show that it would be noticed. */
enum planted {
	PLANTED_NONE,
	PLANTED_EPOCH_IGNORED,	 /* workers obey any epoch */
	PLANTED_VERSION_IGNORED, /* the table writes over any version */
	PLANTED_LEASE_IGNORED,	 /* workers keep tasks without renewal */
	PLANTED_GRANT_FOREVER,	 /* delegates go on without a new grant */
	PLANTED_COUNT,
};

struct sim_task {
	char *name;
	enum task_state state;
	gboolean was_started;
	int64_t lease_until_ms;
	int64_t end_ms;
};

struct sim_worker {
	char name[8];
	int64_t epoch;
	int64_t down_until_ms;
	int64_t snapshot_ms;
	GPtrArray *tasks; /* of struct sim_task */
	GArray *snapshot; /* of struct worker_task */
};

struct sim_row {
	struct job_record record;
	int64_t version;
	gboolean exists;
};

struct sim_node {
	struct sim *sim;
	guint index;
	char name[8];
	guint life;
	int64_t paused_until_ms;
	int64_t cut_until_ms[WORKERS]; /* its calls get lost */
	int64_t epoch;		       /* that it believes to hold */
	int64_t holds_until_ms;
	enum pool_role role; /* at its last tick */
	struct scheduler *scheduler;
	guint asked; /* calls, writes and reads that it asked for */
	struct renewal_delegate *delegate;
};

struct sim {
	GRand *rand;
	enum planted planted;
	gboolean is_past_lease; /* holders act past their lease */
	int64_t now_ms;
	GSequence *events; /* of struct event */
	guint64 sequence;
	struct sim_node nodes[NODES];
	struct sim_worker workers[WORKERS];
	struct sim_row rows[JOBS];
	int64_t versions;
	int holder; /* -1 for none */
	int64_t epoch;
	int64_t lease_until_ms;
	int64_t table_down_until_ms;
	int64_t takeover_ms;	     /* when a process last took a role */
	int64_t holder_cut_until_ms; /* it can't renew */
	int64_t link_cut_until_ms;   /* between the nodes */
	guint shared_renewals;	     /* done by delegates */
	guint thin_answers;	     /* without the tasks */
	GHashTable *starts;	     /* task to count */
	int64_t partial_since_ms[JOBS];
	guint64 idle_ticks; /* that nothing was due at */
	GQueue trace;
	char *violation;
};

enum event_kind {
	EVENT_TICK,
	EVENT_CALL,	   /* reaches a worker */
	EVENT_CALL_ANSWER, /* reaches a node */
	EVENT_WRITE,
	EVENT_WRITE_ANSWER,
	EVENT_READ_ANSWER,
	EVENT_SCAN_ANSWER,
	EVENT_REPORT, /* of a delegate, reaches the holder */
	EVENT_GRANT,  /* reaches the delegate */
};

struct event {
	int64_t at_ms;
	guint64 order;
	enum event_kind kind;
	guint node;
	guint life;
	guint worker;
	guint job;
	int64_t call_id;
	int64_t version;
	gboolean is_answered; /* else the answer is lost */
	enum status status;
	enum worker_answer answer;
	struct worker_call call;
	struct worker_report report;
	struct job_record record;
	struct sim_row rows[JOBS];
	gboolean is_delegate; /* the call is one */
	struct renewal_report renewals;
	struct renewal_grant grant;
};

static void trace(struct sim *s, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void trace(struct sim *s, const char *format, ...)
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

static void violate(struct sim *s, const char *what, const char *where)
{
	if (!s->violation)
		s->violation = g_strdup_printf("%s: %s", what, where);
}

static gboolean chance(struct sim *s, int percent)
{
	return g_rand_int_range(s->rand, 0, 100) < percent;
}

static gboolean has_faults(const struct sim *s)
{
	return s->now_ms < FAULTS_END_MS;
}

static void event_free(gpointer data)
{
	struct event *e = data;

	worker_call_clear(&e->call);
	worker_report_clear(&e->report);
	renewal_report_clear(&e->renewals);
	renewal_grant_clear(&e->grant);
	job_record_clear(&e->record);
	for (guint i = 0; i < JOBS; i++)
		job_record_clear(&e->rows[i].record);
	g_free(e);
}

static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static struct event *event_new(struct sim *s, enum event_kind kind, guint node)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->node = node;
	e->life = s->nodes[node].life;
	return e;
}

static void post(struct sim *s, struct event *e, int64_t delay_ms)
{
	e->at_ms = s->now_ms + delay_ms;
	e->order = s->sequence++;
	g_sequence_insert_sorted(s->events, e, compare_events, NULL);
}

/* Time on the network: mostly short, now and then beyond every timeout. */
static int64_t network_ms(struct sim *s)
{
	if (has_faults(s) && chance(s, 6))
		return g_rand_int_range(s->rand, 0, LATE_MS);
	return g_rand_int_range(s->rand, 1, NETWORK_MS);
}

static gboolean is_table_down(const struct sim *s)
{
	return s->now_ms < s->table_down_until_ms;
}

/* Roles as shared/pool_lease.h promises them. */
static enum pool_role role_of(const struct sim *s, guint node, int64_t *epoch)
{
	const struct sim_node *n = &s->nodes[node];

	*epoch = n->epoch;
	if (s->now_ms < n->holds_until_ms)
		return POOL_ROLE_HOLDER;
	*epoch = s->epoch;
	if (is_table_down(s) &&
	    s->now_ms > s->lease_until_ms + CARETAKER_AFTER_MS)
		return POOL_ROLE_CARETAKER;
	*epoch = 0;
	return POOL_ROLE_NONE;
}

static void copy_call(struct worker_call *to, const struct worker_call *from)
{
	worker_call_init(to, from->pool, from->epoch, from->holder,
			 from->lease_ms);
	to->known = g_strdup(from->known);
	for (guint i = 0; i < from->commands->len; i++) {
		struct worker_command c =
			g_array_index(from->commands, struct worker_command, i);

		c.task = g_strdup(c.task);
		g_array_append_val(to->commands, c);
	}
}

static void sim_call_worker(const char *worker, const char *address,
			    int64_t call_id, const struct worker_call *call,
			    void *data)
{
	struct sim_node *n = data;
	struct sim *s = n->sim;
	struct event *timeout = event_new(s, EVENT_CALL_ANSWER, n->index);
	int copies = has_faults(s) && chance(s, 5) ? 2 : 1;
	int64_t epoch;

	n->asked++;
	timeout->worker = (guint)(worker[1] - '0');
	timeout->call_id = call_id;
	timeout->answer = WORKER_FAILED;
	post(s, timeout, CALL_TIMEOUT_MS);
	if (role_of(s, n->index, &epoch) == POOL_ROLE_NONE)
		return;
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (has_faults(s) && chance(s, 3)))
		return;
	for (int i = 0; i < copies; i++) {
		struct event *e = event_new(s, EVENT_CALL, n->index);

		e->worker = timeout->worker;
		e->call_id = call_id;
		copy_call(&e->call, call);
		e->is_answered = !has_faults(s) || !chance(s, 4);
		post(s, e, network_ms(s));
	}
}

static void delegate_call(struct sim_node *n, const struct delegated_worker *w)
{
	struct sim *s = n->sim;
	struct event *timeout = event_new(s, EVENT_CALL_ANSWER, n->index);
	struct event *e;

	timeout->is_delegate = TRUE;
	timeout->worker = (guint)(w->name[1] - '0');
	timeout->call_id = w->call_id;
	timeout->answer = WORKER_FAILED;
	post(s, timeout, CALL_TIMEOUT_MS);
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (has_faults(s) && chance(s, 3)))
		return;
	e = event_new(s, EVENT_CALL, n->index);
	e->is_delegate = TRUE;
	e->worker = timeout->worker;
	e->call_id = w->call_id;
	worker_call_init(&e->call, n->delegate->pool, n->delegate->epoch, "n",
			 n->delegate->lease_ms);
	e->call.known = g_strdup(w->worker_digest);
	e->is_answered = !has_faults(s) || !chance(s, 4);
	s->shared_renewals++;
	post(s, e, network_ms(s));
}

static void copy_body(const struct schema *schema, const void *from, void *to)
{
	json_object *body = schema_encode(schema, from);
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_true(schema_decode(schema, body, to, "", NULL, &findings));
	finding_list_clear(&findings);
	json_object_put(body);
}

/* Sends between the nodes: lost, late, doubled, out of order. */
static void send_on_link(struct sim *s, guint to,
			 const struct renewal_report *report,
			 const struct renewal_grant *grant)
{
	int copies = has_faults(s) && chance(s, 5) ? 2 : 1;

	if (s->now_ms < s->link_cut_until_ms || (has_faults(s) && chance(s, 5)))
		return;
	for (int i = 0; i < copies; i++) {
		struct event *e =
			event_new(s, report ? EVENT_REPORT : EVENT_GRANT, to);

		if (report)
			copy_body(&renewal_report_schema, report, &e->renewals);
		else
			copy_body(&renewal_grant_schema, grant, &e->grant);
		post(s, e, network_ms(s));
	}
}

static void on_report(struct sim *s, struct event *e)
{
	struct sim_node *n = &s->nodes[e->node];
	struct renewal_grant grant = { 0 };
	int64_t epoch;

	renewal_grant_init(&grant);
	if (role_of(s, e->node, &epoch) == POOL_ROLE_HOLDER &&
	    n->role == POOL_ROLE_HOLDER &&
	    scheduler_on_renewal_report(n->scheduler,
					s->nodes[1 - e->node].name,
					&e->renewals, s->now_ms, &grant))
		send_on_link(s, 1 - e->node, NULL, &grant);
	renewal_grant_clear(&grant);
}

static void on_grant(struct sim *s, struct event *e)
{
	struct renewal_delegate *d = s->nodes[e->node].delegate;

	renewal_delegate_on_grant(d, s->nodes[1 - e->node].name, &e->grant,
				  s->now_ms);
	if (s->planted == PLANTED_GRANT_FOREVER && d->valid_until_ms)
		d->valid_until_ms = INT64_MAX;
}

/* What the service "renewals" does. */
static void tick_delegate(struct sim *s, struct sim_node *n)
{
	const struct sim_node *other = &s->nodes[1 - n->index];
	const struct delegated_worker *w;
	struct renewal_report report = { 0 };
	int64_t epoch;

	if (s->now_ms >= s->link_cut_until_ms &&
	    s->now_ms >= other->paused_until_ms && chance(s, 10) &&
	    role_of(s, other->index, &epoch) == POOL_ROLE_HOLDER)
		renewal_delegate_on_holder(n->delegate, other->name, epoch);
	if (n->role != POOL_ROLE_NONE)
		return;
	while ((w = renewal_delegate_next(n->delegate, s->now_ms)))
		delegate_call(n, w);
	renewal_report_init(&report);
	if (renewal_delegate_report(n->delegate, s->now_ms, &report))
		send_on_link(s, other->index, &report, NULL);
	renewal_report_clear(&report);
}

static guint job_index(const char *id)
{
	return (guint)(id[1] - '0');
}

static void sim_write_row(const char *id, int64_t call_id,
			  const struct job_record *r, int64_t expected_version,
			  void *data)
{
	struct sim_node *n = data;
	struct sim *s = n->sim;
	struct event *timeout = event_new(s, EVENT_WRITE_ANSWER, n->index);
	struct event *e;

	n->asked++;
	timeout->job = job_index(id);
	timeout->call_id = call_id;
	timeout->status = STATUS_UNKNOWN;
	post(s, timeout, CALL_TIMEOUT_MS);
	if (has_faults(s) && chance(s, 3))
		return;
	e = event_new(s, EVENT_WRITE, n->index);
	e->job = job_index(id);
	e->call_id = call_id;
	e->version = expected_version;
	job_record_copy(&e->record, r);
	e->is_answered = !has_faults(s) || !chance(s, 8);
	post(s, e, network_ms(s));
}

static void sim_read_row(const char *id, int64_t call_id, void *data)
{
	struct sim_node *n = data;
	struct sim *s = n->sim;
	struct event *e = event_new(s, EVENT_READ_ANSWER, n->index);
	const struct sim_row *row = &s->rows[job_index(id)];

	n->asked++;
	e->job = job_index(id);
	e->call_id = call_id;
	e->status = is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	if (row->exists) {
		e->version = row->version;
		job_record_copy(&e->record, &row->record);
	}
	post(s, e, network_ms(s));
}

static void sim_scan_rows(void *data)
{
	struct sim_node *n = data;
	struct sim *s = n->sim;
	struct event *e = event_new(s, EVENT_SCAN_ANSWER, n->index);

	n->asked++;
	e->status = is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	for (guint i = 0; i < JOBS; i++) {
		if (!s->rows[i].exists)
			continue;
		e->rows[i].exists = TRUE;
		e->rows[i].version = s->rows[i].version;
		job_record_copy(&e->rows[i].record, &s->rows[i].record);
	}
	post(s, e, network_ms(s));
}

static const struct scheduler_ops sim_ops = {
	.call_worker = sim_call_worker,
	.write_row = sim_write_row,
	.read_row = sim_read_row,
	.scan_rows = sim_scan_rows,
};

static void sim_task_free(gpointer data)
{
	struct sim_task *t = data;

	g_free(t->name);
	g_free(t);
}

static void report_task_clear(gpointer data)
{
	g_free(((struct worker_task *)data)->task);
}

static gboolean is_live(const struct sim_task *t)
{
	return t->state == TASK_RESERVED || t->state == TASK_RUNNING;
}

static struct sim_task *find_task(const struct sim_worker *w, const char *name)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct sim_task *t = w->tasks->pdata[i];

		if (g_str_equal(t->name, name))
			return t;
	}
	return NULL;
}

static struct sim_task *add_task(struct sim_worker *w, const char *name,
				 enum task_state state)
{
	struct sim_task *t = g_new0(struct sim_task, 1);

	t->name = g_strdup(name);
	t->state = state;
	g_ptr_array_add(w->tasks, t);
	return t;
}

/* A commitment of this attempt must have been in the table by now. */
static void check_committed(struct sim *s, const struct task_name *name)
{
	const struct sim_row *row = &s->rows[job_index(name->job)];

	if (row->record.attempt < name->attempt)
		violate(s, "started before its commitment", name->job);
}

static void count_start(struct sim *s, const char *task)
{
	struct task_name name = { 0 };
	gpointer count = g_hash_table_lookup(s->starts, task);

	if (count)
		violate(s, "task started twice", task);
	g_hash_table_insert(s->starts, g_strdup(task), GINT_TO_POINTER(1));
	if (!task_name_parse(task, &name))
		return;
	check_committed(s, &name);
	task_name_clear(&name);
}

/* As the stand-in of workers does it. */
static gboolean run_command(struct sim *s, struct sim_worker *w,
			    const struct worker_command *c)
{
	struct sim_task *t = find_task(w, c->task);

	switch (c->op) {
	case WORKER_RESERVE:
		if (t)
			return is_live(t);
		add_task(w, c->task, TASK_RESERVED);
		return TRUE;
	case WORKER_START:
		if (!t || (t->state != TASK_RESERVED && !t->was_started) ||
		    t->state == TASK_STOPPED)
			return FALSE;
		if (t->was_started)
			return TRUE;
		t->state = TASK_RUNNING;
		t->was_started = TRUE;
		t->end_ms = s->now_ms + c->run_ms;
		count_start(s, c->task);
		return TRUE;
	case WORKER_RELEASE:
		if (t && t->state == TASK_RUNNING)
			return FALSE;
		if (t && t->state == TASK_RESERVED)
			t->state = TASK_STOPPED;
		break;
	case WORKER_STOP:
		if (t && is_live(t))
			t->state = TASK_STOPPED;
		break;
	default:
		break;
	}
	if (!t)
		add_task(w, c->task, TASK_STOPPED);
	return TRUE;
}

static void take_snapshot(struct sim *s, struct sim_worker *w)
{
	if (w->snapshot_ms + WORKER_REPORT_LAG_MS > s->now_ms)
		return;
	w->snapshot_ms = s->now_ms;
	g_array_set_size(w->snapshot, 0);
	for (guint i = 0; i < w->tasks->len; i++) {
		const struct sim_task *t = w->tasks->pdata[i];
		struct worker_task x = { g_strdup(t->name), t->state,
					 MAX(t->end_ms - s->now_ms, 0) };

		g_array_append_val(w->snapshot, x);
	}
}

static void worker_step(struct sim *s, struct sim_worker *w)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		struct sim_task *t = w->tasks->pdata[i];
		gboolean is_lapsed = s->now_ms >= t->lease_until_ms &&
				     s->planted != PLANTED_LEASE_IGNORED;

		if (!is_live(t))
			continue;
		if (t->state == TASK_RUNNING && s->now_ms >= t->end_ms)
			t->state = TASK_DONE;
		else if (is_lapsed)
			t->state = TASK_STOPPED;
	}
	take_snapshot(s, w);
}

/* Every other worker leaves out the tasks that the caller knows. */
static gboolean is_known(struct sim *s, const struct sim_worker *w,
			 const char *known, struct worker_report *r)
{
	const struct worker_report whole = { .tasks = w->snapshot };

	if (w->name[1] % 2)
		return FALSE;
	r->digest = g_strdup_printf("%" G_GINT64_FORMAT,
				    worker_report_digest(&whole));
	r->is_unchanged = g_strcmp0(known, r->digest) == 0;
	s->thin_answers += r->is_unchanged ? 1 : 0;
	return r->is_unchanged != 0;
}

static void fill_report(struct sim *s, const struct sim_worker *w,
			const char *known, struct worker_report *r)
{
	r->epoch = w->epoch;
	r->results = g_array_new(FALSE, TRUE, sizeof(struct worker_result));
	r->tasks = g_array_new(FALSE, TRUE, sizeof(struct worker_task));
	if (is_known(s, w, known, r))
		return;
	for (guint i = 0; i < w->snapshot->len; i++) {
		struct worker_task t =
			g_array_index(w->snapshot, struct worker_task, i);

		t.task = g_strdup(t.task);
		g_array_append_val(r->tasks, t);
	}
}

static void obey(struct sim *s, struct sim_worker *w,
		 const struct worker_call *call, struct worker_report *report)
{
	w->epoch = MAX(w->epoch, call->epoch);
	for (guint i = 0; i < w->tasks->len; i++)
		((struct sim_task *)w->tasks->pdata[i])->lease_until_ms =
			s->now_ms + call->lease_ms;
	for (guint i = 0; i < call->commands->len; i++) {
		const struct worker_command *c = &g_array_index(
			call->commands, struct worker_command, i);
		struct worker_result result = { .task = g_strdup(c->task) };
		struct sim_task *t;

		result.is_refused = !run_command(s, w, c);
		trace(s, "%s op %d %s%s", w->name, (int)c->op, c->task,
		      result.is_refused ? " refused" : "");
		t = find_task(w, c->task);
		if (t)
			t->lease_until_ms = s->now_ms + call->lease_ms;
		g_array_append_val(report->results, result);
	}
}

static void on_call(struct sim *s, struct event *e)
{
	struct sim_worker *w = &s->workers[e->worker];
	struct event *answer;
	gboolean is_old =
		e->call.epoch < w->epoch && s->planted != PLANTED_EPOCH_IGNORED;

	if (s->now_ms < w->down_until_ms)
		return;
	answer = event_new(s, EVENT_CALL_ANSWER, e->node);
	answer->life = e->life;
	answer->worker = e->worker;
	answer->call_id = e->call_id;
	answer->is_delegate = e->is_delegate;
	answer->answer = is_old ? WORKER_STALE_EPOCH : WORKER_ANSWERED;
	fill_report(s, w, e->call.known, &answer->report);
	if (!is_old)
		obey(s, w, &e->call, &answer->report);
	if (e->is_answered)
		post(s, answer, network_ms(s));
	else
		event_free(answer);
}

static void on_write(struct sim *s, struct event *e)
{
	struct sim_row *row = &s->rows[e->job];
	struct event *answer;
	gboolean is_good = e->version == row->version ||
			   s->planted == PLANTED_VERSION_IGNORED;

	if (is_table_down(s))
		return;
	trace(s, "n%u write %s %s attempt %d: %s", e->node, e->record.id,
	      job_state_names[e->record.state], (int)e->record.attempt,
	      is_good ? "done" : "conflict");
	if (is_good) {
		job_record_clear(&row->record);
		job_record_copy(&row->record, &e->record);
		row->version = ++s->versions;
	}
	if (!e->is_answered)
		return;
	answer = event_new(s, EVENT_WRITE_ANSWER, e->node);
	answer->life = e->life;
	answer->job = e->job;
	answer->call_id = e->call_id;
	answer->status = is_good ? STATUS_OK : STATUS_CONFLICT;
	answer->version = row->version;
	post(s, answer, network_ms(s));
}

static void on_scan_answer(struct sim *s, struct event *e)
{
	struct scheduler *x = s->nodes[e->node].scheduler;

	for (guint i = 0; e->status == STATUS_OK && i < JOBS; i++) {
		if (e->rows[i].exists)
			scheduler_on_row(x, e->rows[i].version,
					 &e->rows[i].record, s->now_ms);
	}
	scheduler_on_scanned(x, e->status, s->now_ms);
}

static gboolean is_same(const struct scheduler_stats *a,
			const struct scheduler_stats *b)
{
	return a->phase == b->phase && a->epoch == b->epoch &&
	       a->workers == b->workers &&
	       a->usable_workers == b->usable_workers &&
	       a->aside_workers == b->aside_workers && a->queued == b->queued &&
	       a->gangs == b->gangs && a->recoveries == b->recoveries &&
	       a->recovery_ms == b->recovery_ms;
}

/*
 * A tick that comes before anything is due must find nothing to do: without
 * it, no deadline is served later.
 */
static void tick_scheduler(struct sim *s, struct sim_node *n)
{
	int64_t due_ms = scheduler_due_ms(n->scheduler, s->now_ms);
	struct scheduler_stats before;
	struct scheduler_stats after;
	guint asked = n->asked;

	scheduler_get_stats(n->scheduler, &before);
	scheduler_tick(n->scheduler, s->now_ms, s->now_ms);
	scheduler_get_stats(n->scheduler, &after);
	if (due_ms <= s->now_ms)
		return;
	s->idle_ticks++;
	if (n->asked != asked || !is_same(&before, &after))
		violate(s, "tick acts before it is due",
			scheduler_phase_name(after.phase));
}

static void tick_node(struct sim *s, guint node)
{
	struct scheduler *x = s->nodes[node].scheduler;
	enum pool_role role;
	int64_t epoch;

	role = role_of(s, node, &epoch);
	if (role != POOL_ROLE_NONE && role != s->nodes[node].role)
		s->takeover_ms = s->now_ms;
	s->nodes[node].role = role;
	scheduler_set_role(x, role, epoch, s->now_ms);
	if (role == POOL_ROLE_HOLDER && s->now_ms % 1000 < TICK_MS)
		sim_scan_rows(&s->nodes[node]);
	tick_scheduler(s, &s->nodes[node]);
	tick_delegate(s, &s->nodes[node]);
	post(s, event_new(s, EVENT_TICK, node), TICK_MS);
}

static void open_node(struct sim *s, guint node)
{
	struct sim_node *n = &s->nodes[node];
	char incarnation[32];
	struct scheduler_spec spec = {
		.pool = "salkhi.tov-a",
		.node = n->name,
		.incarnation = incarnation,
		.policy = PLACEMENT_POLICY_DEFAULT,
		.shares_always = TRUE,
		.ops = &sim_ops,
		.data = n,
	};
	struct listed_worker list[WORKERS];

	n->sim = s;
	n->index = node;
	n->life++;
	n->holds_until_ms = 0;
	n->role = POOL_ROLE_NONE;
	g_snprintf(incarnation, sizeof(incarnation), "n%u-%u", node, n->life);
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
	scheduler_on_workers(n->scheduler, list, WORKERS, s->now_ms);
	post(s, event_new(s, EVENT_TICK, node), 1);
}

static void crash_node(struct sim *s, guint node)
{
	trace(s, "n%u crashes", node);
	scheduler_free(s->nodes[node].scheduler);
	renewal_delegate_free(s->nodes[node].delegate);
	open_node(s, node);
}

static void crash_worker(struct sim *s, struct sim_worker *w)
{
	trace(s, "%s crashes", w->name);
	g_ptr_array_set_size(w->tasks, 0);
	g_array_set_size(w->snapshot, 0);
	w->epoch = 0;
	w->down_until_ms = s->now_ms + g_rand_int_range(s->rand, 0, 8000);
}

static void take_lease(struct sim *s)
{
	struct sim_node *n = &s->nodes[s->holder];

	s->lease_until_ms = s->now_ms + LEASE_MS;
	n->epoch = s->epoch;
	n->holds_until_ms = s->lease_until_ms;
	if (s->is_past_lease)
		n->holds_until_ms += PAST_LEASE_MS;
}

/* Renews or moves the lease as shared/pool_lease.h promises. */
static void lease_step(struct sim *s)
{
	gboolean is_cut = s->now_ms < s->holder_cut_until_ms;

	if (is_table_down(s))
		return;
	if (s->holder >= 0 && s->now_ms < s->lease_until_ms) {
		if (!is_cut && s->now_ms >= s->nodes[s->holder].paused_until_ms)
			take_lease(s);
		return;
	}
	s->holder = g_rand_int_range(s->rand, 0, NODES);
	s->epoch++;
	take_lease(s);
	trace(s, "n%d holds epoch %d", s->holder, (int)s->epoch);
}

/* What a grant without end needs to do harm, now and then. */
static void cut_holder(struct sim *s)
{
	int64_t until_ms = s->now_ms + FAULT_MAX_MS;
	guint worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);

	if (!has_faults(s) || s->holder < 0 ||
	    s->now_ms < s->link_cut_until_ms + PLANTED_CALM_MS)
		return;
	trace(s, "n%d cut from w%u and its peer until %d", s->holder, worker,
	      (int)until_ms);
	s->nodes[s->holder].cut_until_ms[worker] = until_ms;
	s->link_cut_until_ms = until_ms;
}

static void fault_step(struct sim *s)
{
	guint node = (guint)g_rand_int_range(s->rand, 0, NODES);
	int64_t until_ms =
		s->now_ms + g_rand_int_range(s->rand, 100, FAULT_MAX_MS);
	guint worker;

	if (s->planted == PLANTED_GRANT_FOREVER) {
		cut_holder(s);
		return;
	}
	if (!has_faults(s) || !chance(s, 2))
		return;
	switch (g_rand_int_range(s->rand, 0, 8)) {
	case 0:
		crash_node(s, node);
		break;
	case 1:
		crash_worker(
			s, &s->workers[g_rand_int_range(s->rand, 0, WORKERS)]);
		break;
	case 2:
		trace(s, "n%u pauses until %d", node, (int)until_ms);
		s->nodes[node].paused_until_ms = until_ms;
		break;
	case 3:
		trace(s, "table down until %d", (int)until_ms);
		s->table_down_until_ms = until_ms;
		break;
	case 4:
	case 5:
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		trace(s, "n%u cut from w%u until %d", node, worker,
		      (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		break;
	case 6: /* from a worker and from the other node alike */
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		trace(s, "n%u cut from w%u and its peer until %d", node, worker,
		      (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		s->link_cut_until_ms = until_ms;
		break;
	default:
		trace(s, "holder can't renew until %d", (int)until_ms);
		s->holder_cut_until_ms = until_ms;
		break;
	}
}

static void submit_step(struct sim *s)
{
	guint i = (guint)g_rand_int_range(s->rand, 0, JOBS);
	struct sim_row *row = &s->rows[i];
	struct job_record *r = &row->record;

	if (row->exists && chance(s, 1) && has_faults(s) &&
	    !job_record_is_ended(r) && !is_table_down(s)) {
		r->is_cancelled = 1;
		g_free(r->commit_id);
		r->commit_id = g_strdup("caller");
		row->version = ++s->versions;
		trace(s, "caller cancels j%u", i);
	}
	if (row->exists || !chance(s, 5))
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
	row->version = ++s->versions;
	trace(s, "j%u submitted", i);
}

/** What runs of one job, over all workers. */
struct running {
	int64_t attempt;
	int64_t members;
	int64_t alive; /* running */
	int64_t over;  /* done */
};

static void count_running(struct sim *s, struct running *r)
{
	for (guint i = 0; i < WORKERS * 64; i++) {
		const struct sim_worker *w = &s->workers[i / 64];
		const struct sim_task *t;
		struct task_name name = { 0 };
		struct running *x;

		if (i % 64 >= w->tasks->len)
			continue;
		t = w->tasks->pdata[i % 64];
		if ((t->state != TASK_RUNNING && t->state != TASK_DONE) ||
		    !task_name_parse(t->name, &name))
			continue;
		x = &r[job_index(name.job)];
		if (t->state == TASK_RUNNING && x->alive &&
		    x->attempt != name.attempt)
			violate(s, "two attempts at once", t->name);
		if (t->state == TASK_RUNNING) {
			x->over = x->attempt == name.attempt ? x->over : 0;
			x->attempt = name.attempt;
			x->members = name.members;
			x->alive++;
		} else if (x->attempt == name.attempt || !x->alive) {
			x->over = x->attempt == name.attempt ? x->over + 1 : 1;
			x->attempt = name.attempt;
		}
		task_name_clear(&name);
	}
}

static void check(struct sim *s)
{
	struct running r[JOBS] = { 0 };

	count_running(s, r);
	for (guint i = 0; i < JOBS; i++) {
		gboolean is_partial =
			r[i].alive && r[i].alive + r[i].over < r[i].members;
		int64_t since_ms;

		since_ms = MAX(s->partial_since_ms[i], s->takeover_ms);
		if (!is_partial)
			s->partial_since_ms[i] = s->now_ms;
		else if (s->now_ms - since_ms > PARTIAL_BOUND_MS)
			violate(s, "gang in part beyond the bound",
				s->rows[i].record.id);
	}
}

static void on_delegate_answer(struct sim *s, struct event *e)
{
	renewal_delegate_on_answer(s->nodes[e->node].delegate,
				   s->workers[e->worker].name, e->call_id,
				   e->answer, &e->report, s->now_ms);
}

static void handle(struct sim *s, struct event *e)
{
	struct sim_node *n = &s->nodes[e->node];
	const char *id = s->rows[e->job].record.id;

	switch (e->kind) {
	case EVENT_TICK:
		tick_node(s, e->node);
		break;
	case EVENT_CALL:
		on_call(s, e);
		break;
	case EVENT_REPORT:
		on_report(s, e);
		break;
	case EVENT_GRANT:
		on_grant(s, e);
		break;
	case EVENT_CALL_ANSWER:
		if (e->is_delegate) {
			on_delegate_answer(s, e);
			break;
		}
		scheduler_on_worker(n->scheduler, s->workers[e->worker].name,
				    e->call_id, e->answer, &e->report,
				    s->now_ms);
		break;
	case EVENT_WRITE:
		on_write(s, e);
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
		on_scan_answer(s, e);
		break;
	}
}

static gboolean is_for_node(const struct event *e)
{
	return e->kind != EVENT_CALL && e->kind != EVENT_WRITE;
}

static void step(struct sim *s)
{
	GSequenceIter *first = g_sequence_get_begin_iter(s->events);
	struct event *e = g_sequence_get(first);
	struct sim_node *n = &s->nodes[e->node];

	s->now_ms = e->at_ms;
	if (is_for_node(e) && e->life == n->life &&
	    s->now_ms < n->paused_until_ms) {
		e->at_ms = n->paused_until_ms;
		g_sequence_sort_changed(first, compare_events, NULL);
		return;
	}
	for (guint i = 0; i < WORKERS; i++)
		worker_step(s, &s->workers[i]);
	lease_step(s);
	if (!is_for_node(e) || e->life == n->life)
		handle(s, e);
	if (e->kind == EVENT_TICK) {
		fault_step(s);
		submit_step(s);
	}
	check(s);
	g_sequence_remove(first);
}

static gboolean all_ended(const struct sim *s)
{
	for (guint i = 0; i < JOBS; i++) {
		if (!s->rows[i].exists ||
		    !job_record_is_ended(&s->rows[i].record))
			return FALSE;
	}
	return TRUE;
}

static void sim_open(struct sim *s, guint32 seed, enum planted planted)
{
	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(seed);
	s->planted = planted;
	s->is_past_lease =
		planted == PLANTED_EPOCH_IGNORED || g_rand_boolean(s->rand);
	s->events = g_sequence_new(event_free);
	s->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->holder = -1;
	g_queue_init(&s->trace);
	for (guint i = 0; i < WORKERS; i++) {
		struct sim_worker *w = &s->workers[i];

		g_snprintf(w->name, sizeof(w->name), "w%u", i);
		w->tasks = g_ptr_array_new_with_free_func(sim_task_free);
		w->snapshot =
			g_array_new(FALSE, TRUE, sizeof(struct worker_task));
		g_array_set_clear_func(w->snapshot, report_task_clear);
	}
	for (guint i = 0; i < NODES; i++)
		open_node(s, i);
}

static void sim_close(struct sim *s)
{
	for (guint i = 0; i < NODES; i++) {
		scheduler_free(s->nodes[i].scheduler);
		renewal_delegate_free(s->nodes[i].delegate);
	}
	for (guint i = 0; i < WORKERS; i++) {
		g_ptr_array_unref(s->workers[i].tasks);
		g_array_unref(s->workers[i].snapshot);
	}
	for (guint i = 0; i < JOBS; i++)
		job_record_clear(&s->rows[i].record);
	g_sequence_free(s->events);
	g_hash_table_unref(s->starts);
	g_queue_clear_full(&s->trace, g_free);
	g_rand_free(s->rand);
	g_free(s->violation);
}

/* Of all seeds: by delegates, and answered without the tasks. */
static guint shared_renewals;
static guint thin_answers;

/* Runs one seed; returns what was violated, or NULL. */
static char *run_seed(guint32 seed, enum planted planted, gboolean is_loud)
{
	struct sim s;
	char *violation;

	sim_open(&s, seed, planted);
	while (s.now_ms < RUN_END_MS && !s.violation &&
	       !(all_ended(&s) && s.now_ms > FAULTS_END_MS))
		step(&s);
	if (!all_ended(&s))
		violate(&s, "job never ended", "");
	shared_renewals += s.shared_renewals;
	thin_answers += s.thin_answers;
	violation = g_strdup(s.violation);
	if (violation && is_loud) {
		g_test_message("seed %u: %s", seed, violation);
		for (GList *l = s.trace.head; l; l = l->next)
			g_test_message("%s", (const char *)l->data);
	}
	sim_close(&s);
	return violation;
}

static guint32 seed_count(void)
{
	const char *text = g_getenv("CS_SEEDS");

	return text ? (guint32)g_ascii_strtoull(text, NULL, 10) : SEEDS;
}

static void test_seeds(void)
{
	const char *only = g_getenv("CS_SEED");
	guint32 first = only ? (guint32)g_ascii_strtoull(only, NULL, 10) : 0;
	guint32 last = only ? first + 1 : seed_count();

	shared_renewals = 0;
	thin_answers = 0;
	for (guint32 seed = first; seed < last; seed++) {
		char *violation = run_seed(seed, PLANTED_NONE, TRUE);

		if (violation)
			g_test_fail();
		g_free(violation);
		if (g_test_failed())
			return;
	}
	g_test_message("%u renewals by delegates, %u thin answers",
		       shared_renewals, thin_answers);
	g_assert_cmpuint(shared_renewals, >=, last - first);
	g_assert_cmpuint(thin_answers, >=, last - first);
}

/* Every fault that is planted has to be found within as many seeds. */
static void test_planted(void)
{
	for (int planted = 1; planted < PLANTED_COUNT; planted++) {
		char *violation = NULL;
		guint32 seed;

		for (seed = 0; seed < SEEDS && !violation; seed++)
			violation =
				run_seed(seed, (enum planted)planted, FALSE);
		g_test_message("planted %d: seed %u: %s", planted, seed - 1,
			       violation ? violation : "not found");
		if (!violation)
			g_test_fail();
		g_free(violation);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gangs/explore/seeds", test_seeds);
	g_test_add_func("/gangs/explore/planted", test_planted);
	return g_test_run();
}
