#include "tests/gang_sim.h"

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

static gboolean chance(struct gang_sim *s, int percent)
{
	return g_rand_int_range(s->rand, 0, 100) < percent;
}

static gboolean has_faults(const struct gang_sim *s)
{
	return s->now_ms < FAULTS_END_MS;
}

void gang_sim_event_free(gpointer data)
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

struct event *gang_sim_event(struct gang_sim *s, enum event_kind kind,
			     guint node)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = kind;
	e->node = node;
	e->life = s->nodes[node].life;
	return e;
}

void gang_sim_post(struct gang_sim *s, struct event *e, int64_t delay_ms)
{
	event_queue_add(&s->events, &e->base, s->now_ms + delay_ms);
}

/* Time on the network: mostly short, now and then beyond every timeout. */
int64_t gang_sim_network_ms(struct gang_sim *s)
{
	if (has_faults(s) && chance(s, 6))
		return g_rand_int_range(s->rand, 0, LATE_MS);
	return g_rand_int_range(s->rand, 1, NETWORK_MS);
}

static gboolean is_table_down(const struct gang_sim *s)
{
	return s->now_ms < s->table_down_until_ms;
}

/* Roles as shared/pool_lease.h promises them. */
static enum pool_role role_of(const struct gang_sim *s, guint node,
			      int64_t *epoch)
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
	struct gang_sim *s = n->sim;
	struct event *timeout = gang_sim_event(s, EVENT_CALL_ANSWER, n->index);
	int copies = has_faults(s) && chance(s, 5) ? 2 : 1;
	int64_t epoch;

	n->asked++;
	timeout->worker = (guint)(worker[1] - '0');
	timeout->call_id = call_id;
	timeout->answer = WORKER_FAILED;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (role_of(s, n->index, &epoch) == POOL_ROLE_NONE)
		return;
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (has_faults(s) && chance(s, 3)))
		return;
	for (int i = 0; i < copies; i++) {
		struct event *e = gang_sim_event(s, EVENT_CALL, n->index);

		e->worker = timeout->worker;
		e->call_id = call_id;
		copy_call(&e->call, call);
		e->is_answered = !has_faults(s) || !chance(s, 4);
		gang_sim_post(s, e, gang_sim_network_ms(s));
	}
}

static void delegate_call(struct sim_node *n, const struct delegated_worker *w)
{
	struct gang_sim *s = n->sim;
	struct event *timeout = gang_sim_event(s, EVENT_CALL_ANSWER, n->index);
	struct event *e;

	timeout->is_delegate = TRUE;
	timeout->worker = (guint)(w->name[1] - '0');
	timeout->call_id = w->call_id;
	timeout->answer = WORKER_FAILED;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (s->now_ms < n->cut_until_ms[timeout->worker] ||
	    (has_faults(s) && chance(s, 3)))
		return;
	e = gang_sim_event(s, EVENT_CALL, n->index);
	e->is_delegate = TRUE;
	e->worker = timeout->worker;
	e->call_id = w->call_id;
	worker_call_init(&e->call, n->delegate->pool, n->delegate->epoch, "n",
			 n->delegate->lease_ms);
	e->call.known = g_strdup(w->worker_digest);
	e->is_answered = !has_faults(s) || !chance(s, 4);
	s->shared_renewals++;
	gang_sim_post(s, e, gang_sim_network_ms(s));
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
static void send_on_link(struct gang_sim *s, guint to,
			 const struct renewal_report *report,
			 const struct renewal_grant *grant)
{
	int copies = has_faults(s) && chance(s, 5) ? 2 : 1;

	if (s->now_ms < s->link_cut_until_ms || (has_faults(s) && chance(s, 5)))
		return;
	for (int i = 0; i < copies; i++) {
		struct event *e = gang_sim_event(
			s, report ? EVENT_REPORT : EVENT_GRANT, to);

		if (report)
			copy_body(&renewal_report_schema, report, &e->renewals);
		else
			copy_body(&renewal_grant_schema, grant, &e->grant);
		gang_sim_post(s, e, gang_sim_network_ms(s));
	}
}

static void on_report(struct gang_sim *s, struct event *e)
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

static void on_grant(struct gang_sim *s, struct event *e)
{
	struct renewal_delegate *d = s->nodes[e->node].delegate;

	renewal_delegate_on_grant(d, s->nodes[1 - e->node].name, &e->grant,
				  s->now_ms);
	if (s->planted == PLANTED_GRANT_FOREVER && d->valid_until_ms)
		d->valid_until_ms = INT64_MAX;
}

/* What the service "renewals" does. */
static void tick_delegate(struct gang_sim *s, struct sim_node *n)
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

guint gang_sim_job(const char *id)
{
	return (guint)(id[1] - '0');
}

static void sim_write_row(const char *id, int64_t call_id,
			  const struct job_record *r, int64_t expected_version,
			  void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct event *timeout = gang_sim_event(s, EVENT_WRITE_ANSWER, n->index);
	struct event *e;

	n->asked++;
	timeout->job = gang_sim_job(id);
	timeout->call_id = call_id;
	timeout->status = STATUS_UNKNOWN;
	gang_sim_post(s, timeout, CALL_TIMEOUT_MS);
	if (has_faults(s) && chance(s, 3))
		return;
	e = gang_sim_event(s, EVENT_WRITE, n->index);
	e->job = gang_sim_job(id);
	e->call_id = call_id;
	e->version = expected_version;
	job_record_copy(&e->record, r);
	e->is_answered = !has_faults(s) || !chance(s, 8);
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

static void sim_read_row(const char *id, int64_t call_id, void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct event *e = gang_sim_event(s, EVENT_READ_ANSWER, n->index);
	const struct sim_row *row = &s->rows[gang_sim_job(id)];

	n->asked++;
	e->job = gang_sim_job(id);
	e->call_id = call_id;
	e->status = is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	if (row->exists) {
		e->version = row->version;
		job_record_copy(&e->record, &row->record);
	}
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

static void sim_scan_rows(void *data)
{
	struct sim_node *n = data;
	struct gang_sim *s = n->sim;
	struct event *e = gang_sim_event(s, EVENT_SCAN_ANSWER, n->index);

	n->asked++;
	e->status = is_table_down(s) ? STATUS_UNAVAILABLE : STATUS_OK;
	for (guint i = 0; i < JOBS; i++) {
		if (!s->rows[i].exists)
			continue;
		e->rows[i].exists = TRUE;
		e->rows[i].version = s->rows[i].version;
		job_record_copy(&e->rows[i].record, &s->rows[i].record);
	}
	gang_sim_post(s, e, gang_sim_network_ms(s));
}

static const struct scheduler_ops sim_ops = {
	.call_worker = sim_call_worker,
	.write_row = sim_write_row,
	.read_row = sim_read_row,
	.scan_rows = sim_scan_rows,
};

static void on_write(struct gang_sim *s, struct event *e)
{
	struct sim_row *row = &s->rows[e->job];
	struct event *answer;
	gboolean is_good = e->version == row->version ||
			   s->planted == PLANTED_VERSION_IGNORED;

	if (is_table_down(s))
		return;
	gang_sim_trace(s, "n%u write %s %s attempt %d: %s", e->node,
		       e->record.id, job_state_names[e->record.state],
		       (int)e->record.attempt, is_good ? "done" : "conflict");
	if (is_good) {
		job_record_clear(&row->record);
		job_record_copy(&row->record, &e->record);
		row->version = ++s->versions;
	}
	if (!e->is_answered)
		return;
	answer = gang_sim_event(s, EVENT_WRITE_ANSWER, e->node);
	answer->life = e->life;
	answer->job = e->job;
	answer->call_id = e->call_id;
	answer->status = is_good ? STATUS_OK : STATUS_CONFLICT;
	answer->version = row->version;
	gang_sim_post(s, answer, gang_sim_network_ms(s));
}

static void on_scan_answer(struct gang_sim *s, struct event *e)
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
static void tick_scheduler(struct gang_sim *s, struct sim_node *n)
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
		gang_sim_violate(s, "tick acts before it is due",
				 scheduler_phase_name(after.phase));
}

static void tick_node(struct gang_sim *s, guint node)
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
	gang_sim_post(s, gang_sim_event(s, EVENT_TICK, node), TICK_MS);
}

static void open_node(struct gang_sim *s, guint node)
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
	gang_sim_post(s, gang_sim_event(s, EVENT_TICK, node), 1);
}

static void crash_node(struct gang_sim *s, guint node)
{
	gang_sim_trace(s, "n%u crashes", node);
	scheduler_free(s->nodes[node].scheduler);
	renewal_delegate_free(s->nodes[node].delegate);
	open_node(s, node);
}

static void take_lease(struct gang_sim *s)
{
	struct sim_node *n = &s->nodes[s->holder];

	s->lease_until_ms = s->now_ms + LEASE_MS;
	n->epoch = s->epoch;
	n->holds_until_ms = s->lease_until_ms;
	if (s->is_past_lease)
		n->holds_until_ms += PAST_LEASE_MS;
}

/* Renews or moves the lease as shared/pool_lease.h promises. */
static void lease_step(struct gang_sim *s)
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
	gang_sim_trace(s, "n%d holds epoch %d", s->holder, (int)s->epoch);
}

/* What a grant without end needs to do harm, now and then. */
static void cut_holder(struct gang_sim *s)
{
	int64_t until_ms = s->now_ms + FAULT_MAX_MS;
	guint worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);

	if (!has_faults(s) || s->holder < 0 ||
	    s->now_ms < s->link_cut_until_ms + PLANTED_CALM_MS)
		return;
	gang_sim_trace(s, "n%d cut from w%u and its peer until %d", s->holder,
		       worker, (int)until_ms);
	s->nodes[s->holder].cut_until_ms[worker] = until_ms;
	s->link_cut_until_ms = until_ms;
}

static void fault_step(struct gang_sim *s)
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
		gang_sim_worker_crash(
			s, &s->workers[g_rand_int_range(s->rand, 0, WORKERS)]);
		break;
	case 2:
		gang_sim_trace(s, "n%u pauses until %d", node, (int)until_ms);
		s->nodes[node].paused_until_ms = until_ms;
		break;
	case 3:
		gang_sim_trace(s, "table down until %d", (int)until_ms);
		s->table_down_until_ms = until_ms;
		break;
	case 4:
	case 5:
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		gang_sim_trace(s, "n%u cut from w%u until %d", node, worker,
			       (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		break;
	case 6: /* from a worker and from the other node alike */
		worker = (guint)g_rand_int_range(s->rand, 0, WORKERS);
		gang_sim_trace(s, "n%u cut from w%u and its peer until %d",
			       node, worker, (int)until_ms);
		s->nodes[node].cut_until_ms[worker] = until_ms;
		s->link_cut_until_ms = until_ms;
		break;
	default:
		gang_sim_trace(s, "holder can't renew until %d", (int)until_ms);
		s->holder_cut_until_ms = until_ms;
		break;
	}
}

static void submit_step(struct gang_sim *s)
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
		gang_sim_trace(s, "caller cancels j%u", i);
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
	gang_sim_trace(s, "j%u submitted", i);
}

/** What runs of one job, over all workers. */
struct running {
	int64_t attempt;
	int64_t members;
	int64_t alive; /* running */
	int64_t over;  /* done */
};

static void count_running(struct gang_sim *s, struct running *r)
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
		x = &r[gang_sim_job(name.job)];
		if (t->state == TASK_RUNNING && x->alive &&
		    x->attempt != name.attempt)
			gang_sim_violate(s, "two attempts at once", t->name);
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

static void check(struct gang_sim *s)
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
			gang_sim_violate(s, "gang in part beyond the bound",
					 s->rows[i].record.id);
	}
}

static void on_delegate_answer(struct gang_sim *s, struct event *e)
{
	renewal_delegate_on_answer(s->nodes[e->node].delegate,
				   s->workers[e->worker].name, e->call_id,
				   e->answer, &e->report, s->now_ms);
}

static void handle(struct gang_sim *s, struct event *e)
{
	struct sim_node *n = &s->nodes[e->node];
	const char *id = s->rows[e->job].record.id;

	switch (e->kind) {
	case EVENT_TICK:
		tick_node(s, e->node);
		break;
	case EVENT_CALL:
		gang_sim_worker_on_call(s, e);
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

void gang_sim_step(struct gang_sim *s)
{
	struct event *e = (struct event *)event_queue_first(&s->events);
	struct sim_node *n = &s->nodes[e->node];

	s->now_ms = e->base.time;
	if (is_for_node(e) && e->life == n->life &&
	    s->now_ms < n->paused_until_ms) {
		event_queue_delay_first(&s->events, n->paused_until_ms);
		return;
	}
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_step(s, &s->workers[i]);
	lease_step(s);
	if (!is_for_node(e) || e->life == n->life)
		handle(s, e);
	if (e->kind == EVENT_TICK) {
		fault_step(s);
		submit_step(s);
	}
	check(s);
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

void gang_sim_open(struct gang_sim *s, guint32 seed, enum planted planted)
{
	memset(s, 0, sizeof(*s));
	s->rand = g_rand_new_with_seed(seed);
	s->planted = planted;
	s->is_past_lease =
		planted == PLANTED_EPOCH_IGNORED || g_rand_boolean(s->rand);
	event_queue_init(&s->events, gang_sim_event_free);
	s->starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->holder = -1;
	g_queue_init(&s->trace);
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_init(&s->workers[i], i);
	for (guint i = 0; i < NODES; i++)
		open_node(s, i);
}

void gang_sim_close(struct gang_sim *s)
{
	for (guint i = 0; i < NODES; i++) {
		scheduler_free(s->nodes[i].scheduler);
		renewal_delegate_free(s->nodes[i].delegate);
	}
	for (guint i = 0; i < WORKERS; i++)
		gang_sim_worker_clear(&s->workers[i]);
	for (guint i = 0; i < JOBS; i++)
		job_record_clear(&s->rows[i].record);
	event_queue_clear(&s->events);
	g_hash_table_unref(s->starts);
	g_queue_clear_full(&s->trace, g_free);
	g_rand_free(s->rand);
	g_free(s->violation);
}
