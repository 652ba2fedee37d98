#include <glib.h>
#include <string.h>

#include "job/job_queue.h"
#include "job/placement/migrate.h"
#include "job/pool.h"

#define RACK_WORKERS 2
#define WORKERS 4

static struct pool *new_pool(void)
{
	struct pool *pool = pool_new("salkhi.tov-a");

	for (guint i = 0; i < WORKERS; i++) {
		char *name = g_strdup_printf("w%u", i);
		char *rack = g_strdup_printf("r%u", i / RACK_WORKERS);
		struct worker_spec spec = { name, rack, "127.0.0.1:1",
					    8,	  64,	131072 };

		pool_add_worker(pool, &spec);
		g_free(name);
		g_free(rack);
	}
	return pool;
}

static struct pool_job new_job(const char *id, const char *account,
			       int64_t members, int64_t accelerators,
			       int64_t adjacency)
{
	return (struct pool_job){ .id = id,
				  .client_account = account,
				  .family = "f",
				  .class = JOB_CLASS_NORMAL,
				  .shape = { members, accelerators, 1, 1024,
					     adjacency },
				  .expected_run_ms = 60000,
				  .is_checkpointable = TRUE };
}

/* Sets one guaranteed shape for each of two accounts. */
static void set_guarantees(struct pool *pool, const struct shape *a,
			   const struct shape *b)
{
	struct config_doc doc = { 0 };
	struct client_account accounts[2] = { { .name = "a" },
					      { .name = "b" } };
	struct guaranteed_shape shapes[2] = { { "s", "salkhi.tov-a", *a },
					      { "s", "salkhi.tov-a", *b } };

	doc.client_accounts =
		g_array_new(FALSE, FALSE, sizeof(struct client_account));
	for (guint i = 0; i < 2; i++) {
		accounts[i].guaranteed_shapes = g_array_new(
			FALSE, FALSE, sizeof(struct guaranteed_shape));
		g_array_append_val(accounts[i].guaranteed_shapes, shapes[i]);
		g_array_append_val(doc.client_accounts, accounts[i]);
	}
	pool_set_guarantees(pool, &doc);
	for (guint i = 0; i < 2; i++)
		g_array_unref(accounts[i].guaranteed_shapes);
	g_array_unref(doc.client_accounts);
}

/* Returns the findings of both checks as text, "" without any; free it. */
static char *check_findings(const struct pool *pool)
{
	struct finding_list findings;
	char *text;

	finding_list_init(&findings);
	pool_check_accounting(pool, &findings);
	pool_check_guarantees(pool, &findings);
	text = finding_list_text(&findings);
	finding_list_clear(&findings);
	return text;
}

struct fit_case {
	struct shape shape;
	const char *reason; /* NULL if the shape fits */
};

static const struct fit_case fit_cases[] = {
	{ { 4, 8, 1, 1024, ADJACENCY_NONE }, NULL },
	{ { 5, 8, 1, 1024, ADJACENCY_NONE },
	  "the pool can hold 4 of 5 members even when empty" },
	{ { 2, 8, 1, 1024, ADJACENCY_RACK }, NULL },
	{ { 3, 8, 1, 1024, ADJACENCY_RACK },
	  "any one rack can hold 2 of 3 members even when empty" },
	{ { 8, 1, 1, 1024, ADJACENCY_WORKER }, NULL },
	{ { 9, 1, 1, 1024, ADJACENCY_WORKER },
	  "any one worker can hold 8 of 9 members even when empty" },
	{ { 1, 0, 65, 1024, ADJACENCY_NONE },
	  "the pool can hold 0 of 1 members even when empty" },
};

static void test_could_fit(void)
{
	struct pool *pool = new_pool();

	for (guint i = 0; i < G_N_ELEMENTS(fit_cases); i++) {
		char *reason = NULL;
		gboolean fits =
			pool_could_fit(pool, &fit_cases[i].shape, &reason);

		g_assert_cmpint(fits, ==, fit_cases[i].reason == NULL);
		g_assert_cmpstr(reason, ==, fit_cases[i].reason);
		g_free(reason);
	}
	pool_free(pool);
}

struct guarantee_case {
	struct shape a;
	struct shape b;
	const char *lost_worker; /* set unusable, or NULL */
	gboolean is_planned;
};

static const struct guarantee_case guarantee_cases[] = {
	{ { 2, 8, 8, 1024, 1 }, { 2, 8, 8, 1024, 1 }, NULL, TRUE },
	{ { 2, 8, 8, 1024, 1 }, { 2, 8, 8, 1024, 1 }, "w0", FALSE },
	{ { 2, 8, 8, 1024, 1 }, { 2, 4, 8, 1024, 1 }, "w0", TRUE },
	{ { 3, 4, 8, 1024, 1 }, { 2, 8, 8, 1024, 1 }, NULL, TRUE },
	{ { 3, 4, 8, 1024, 1 }, { 3, 8, 8, 1024, 0 }, NULL, FALSE },
	{ { 2, 8, 8, 1024, 0 }, { 2, 8, 8, 1024, 1 }, NULL, TRUE },
	{ { 8, 1, 1, 1024, 2 }, { 3, 8, 8, 1024, 0 }, NULL, TRUE },
	{ { 8, 1, 1, 1024, 2 }, { 3, 8, 8, 1024, 0 }, "w3", FALSE },
};

static void test_guarantees_held(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(guarantee_cases); i++) {
		const struct guarantee_case *c = &guarantee_cases[i];
		struct pool *pool = new_pool();
		char *findings_text;

		set_guarantees(pool, &c->a, &c->b);
		if (c->lost_worker)
			pool_set_worker_usable(pool, c->lost_worker, FALSE);
		findings_text = check_findings(pool);
		g_assert_cmpint(findings_text[0] == '\0', ==, c->is_planned);
		g_free(findings_text);
		if (c->lost_worker)
			pool_set_worker_usable(pool, c->lost_worker, TRUE);
		findings_text = check_findings(pool);
		g_assert_cmpint(findings_text[0] == '\0', ==,
				c->is_planned || c->lost_worker);
		g_free(findings_text);
		pool_free(pool);
	}
}

static enum status assign(struct pool *pool, const struct pool_job *job,
			  const char *workers, const char *preempt,
			  gboolean is_guaranteed)
{
	struct placement p;
	char **names = g_strsplit(workers, " ", -1);
	enum status status;

	placement_init(&p);
	for (guint i = 0; names[i]; i++)
		g_ptr_array_add(p.workers, g_strdup(names[i]));
	if (preempt)
		g_ptr_array_add(p.preempt, g_strdup(preempt));
	p.is_guaranteed = is_guaranteed;
	status = pool_assign(pool, job, &p, 1000);
	placement_clear(&p);
	g_strfreev(names);
	return status;
}

static void assert_no_findings(const struct pool *pool)
{
	char *findings_text = check_findings(pool);

	g_assert_cmpstr(findings_text, ==, "");
	g_free(findings_text);
}

enum { SMALL, BIG, OTHER };

struct assign_step {
	guint job;
	const char *workers;
	const char *preempt;
	gboolean is_guaranteed;
	enum status status;
	const char *running; /* expected ids, in order of the jobs */
	const char *release; /* id to release after the check, or NULL */
};

static const struct assign_step assign_steps[] = {
	{ SMALL, "w9", NULL, FALSE, STATUS_NOT_FOUND, "", NULL },
	{ SMALL, "w0", NULL, FALSE, STATUS_OK, "small", NULL },
	{ SMALL, "w1", NULL, FALSE, STATUS_CONFLICT, "small", NULL },
	{ BIG, "w0 w1", NULL, TRUE, STATUS_FULL, "small", NULL },
	{ OTHER, "w2 w3", NULL, TRUE, STATUS_CONFLICT, "small", NULL },
	{ BIG, "w0 w1", "small", TRUE, STATUS_OK, "big", "small" },
	{ OTHER, "w2 w3", NULL, FALSE, STATUS_OK, "big other", "big" },
	{ BIG, "w2 w3", "other", TRUE, STATUS_OK, "big", "big" },
	{ SMALL, "w2", NULL, FALSE, STATUS_OK, "small", "unknown" },
};

static void assert_running(const struct pool *pool, const struct pool_job *jobs,
			   const char *expected)
{
	GString *running = g_string_new(NULL);

	for (guint i = SMALL; i <= OTHER; i++) {
		if (!pool_is_running(pool, jobs[i].id))
			continue;
		g_string_append_printf(running, "%s%s", running->len ? " " : "",
				       jobs[i].id);
	}
	g_assert_cmpstr(running->str, ==, expected);
	g_string_free(running, TRUE);
}

static void test_assign(void)
{
	const struct shape rack_pair = { 2, 8, 8, 8192, ADJACENCY_RACK };
	const struct pool_job jobs[] = {
		new_job("small", "b", 1, 4, ADJACENCY_NONE),
		new_job("big", "a", 2, 8, ADJACENCY_RACK),
		new_job("other", "c", 2, 8, ADJACENCY_RACK),
	};
	struct pool *pool = new_pool();

	set_guarantees(pool, &rack_pair, &rack_pair);
	for (guint i = 0; i < G_N_ELEMENTS(assign_steps); i++) {
		const struct assign_step *s = &assign_steps[i];
		enum status status = assign(pool, &jobs[s->job], s->workers,
					    s->preempt, s->is_guaranteed);

		g_assert_cmpint(status, ==, s->status);
		assert_running(pool, jobs, s->running);
		if (s->release)
			pool_release(pool, s->release);
		assert_no_findings(pool);
	}
	pool_free(pool);
}

/*
 * Once a guaranteed job on a lost worker is released, its slot must be planned
 * on another worker.
 */
static void test_lost_worker_in_use(void)
{
	struct shape one = { 1, 8, 8, 8192, ADJACENCY_NONE };
	struct pool_job job = new_job("j", "a", 1, 8, ADJACENCY_NONE);
	struct pool *pool = new_pool();
	enum status status;

	set_guarantees(pool, &one, &one);
	status = assign(pool, &job, "w3", NULL, TRUE);
	g_assert_cmpint(status, ==, STATUS_OK);
	assert_no_findings(pool);
	pool_set_worker_usable(pool, "w3", FALSE);
	assert_no_findings(pool);
	pool_release(pool, "j");
	assert_no_findings(pool);
	status = assign(pool, &job, "w0", NULL, TRUE);
	g_assert_cmpint(status, ==, STATUS_OK);
	pool_free(pool);
}

struct queue_case {
	const char *policy;
	const char *started; /* expected ids, in order */
};

/* Of the four jobs, the second needs the whole pool and has to wait. */
static const struct queue_case queue_cases[] = {
	{ "first_fit", "j0" },
	{ "backfill", "j0 j2" },
};

static void decide_all(struct job_queue *q, struct pool *pool,
		       struct placement_policy *policy, GString *started)
{
	struct job_decision d;
	enum status status;

	do {
		job_decision_init(&d);
		status = job_queue_decide(q, pool, policy, 1000, &d);
		if (status == STATUS_OK)
			g_string_append_printf(started, "%s%s",
					       started->len ? " " : "",
					       d.job_id);
		job_decision_clear(&d);
	} while (status != STATUS_NOT_FOUND);
}

static void test_queue_order(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(queue_cases); i++) {
		struct pool *pool = new_pool();
		struct placement_policy *policy =
			placement_policy_new(queue_cases[i].policy);
		struct job_queue *q = job_queue_new(policy->class->discipline);
		GString *started = g_string_new(NULL);
		struct pool_job jobs[] = {
			new_job("j0", "a", 1, 8, ADJACENCY_NONE),
			new_job("j1", "a", 4, 8, ADJACENCY_NONE),
			new_job("j2", "b", 1, 8, ADJACENCY_NONE),
			new_job("j3", "b", 2, 8, ADJACENCY_NONE),
		};

		jobs[2].expected_run_ms = 100;
		jobs[3].expected_run_ms = 70000;
		for (guint k = 0; k < G_N_ELEMENTS(jobs); k++)
			job_queue_submit(q, &jobs[k], k);
		decide_all(q, pool, policy, started);
		g_assert_cmpstr(started->str, ==, queue_cases[i].started);
		g_assert_nonnull(job_queue_reason(q, "j1"));
		g_string_free(started, TRUE);
		job_queue_free(q);
		placement_policy_free(policy);
		pool_free(pool);
	}
}

static void test_queue_cancel(void)
{
	struct job_queue *q = job_queue_new(QUEUE_FIFO);
	struct pool_job job = new_job("j", "a", 1, 8, ADJACENCY_NONE);
	enum status status = job_queue_submit(q, &job, 1);
	gboolean is_cancelled;

	g_assert_cmpint(status, ==, STATUS_OK);
	status = job_queue_submit(q, &job, 2);
	g_assert_cmpint(status, ==, STATUS_CONFLICT);
	is_cancelled = job_queue_cancel(q, "j");
	g_assert_true(is_cancelled);
	is_cancelled = job_queue_cancel(q, "j");
	g_assert_false(is_cancelled);
	status = job_queue_submit(q, &job, 2);
	g_assert_cmpint(status, ==, STATUS_OK);
	job_queue_free(q);
}

static void test_queue_refuse(void)
{
	struct pool *pool = new_pool();
	struct placement_policy *policy = placement_policy_new("first_fit");
	struct job_queue *q = job_queue_new(QUEUE_FIFO);
	struct pool_job never = new_job("never", "a", 5, 8, ADJACENCY_NONE);
	struct pool_job later = new_job("later", "a", 1, 8, ADJACENCY_NONE);
	struct job_decision d;
	enum status status;

	job_queue_submit(q, &never, 1);
	job_queue_submit(q, &later, 2);
	job_decision_init(&d);
	status = job_queue_decide(q, pool, policy, 5, &d);
	g_assert_cmpint(status, ==, STATUS_REFUSED);
	g_assert_cmpstr(d.job_id, ==, "never");
	job_decision_clear(&d);
	job_decision_init(&d);
	status = job_queue_decide(q, pool, policy, 5, &d);
	g_assert_cmpint(status, ==, STATUS_OK);
	g_assert_cmpstr(d.job_id, ==, "later");
	job_decision_clear(&d);
	job_queue_free(q);
	placement_policy_free(policy);
	pool_free(pool);
}

struct later_step {
	int64_t now_ms;
	gboolean is_lost; /* whether one of the four workers is unusable */
	enum status status;
};

/* A job is refused when a worker that it needs is lost for ten minutes. */
static const struct later_step later_steps[] = {
	{ 1000, TRUE, STATUS_NOT_FOUND },
	{ 599000, TRUE, STATUS_NOT_FOUND },
	{ 601000, TRUE, STATUS_REFUSED },
};

static void test_queue_impossible_later(void)
{
	struct pool *pool = new_pool();
	struct placement_policy *policy = placement_policy_new("cells");
	struct job_queue *q = job_queue_new(policy->class->discipline);
	struct pool_job all = new_job("all", "a", 4, 8, ADJACENCY_NONE);

	job_queue_submit(q, &all, 0);
	for (guint i = 0; i < G_N_ELEMENTS(later_steps); i++) {
		const struct later_step *s = &later_steps[i];
		struct job_decision d;
		enum status status;

		pool_set_worker_usable(pool, "w1", !s->is_lost);
		job_decision_init(&d);
		status = job_queue_decide(q, pool, policy, s->now_ms, &d);
		g_assert_cmpint(status, ==, s->status);
		job_decision_clear(&d);
	}
	job_queue_free(q);
	placement_policy_free(policy);
	pool_free(pool);
}

static void test_queue_run_time(void)
{
	struct job_queue *q = job_queue_new(QUEUE_FAIR);
	struct pool_job job = new_job("j", "a", 1, 8, ADJACENCY_NONE);
	struct pool_job other = new_job("o", "b", 1, 8, ADJACENCY_NONE);
	int64_t expected_ms;

	for (guint i = 0; i < 20; i++)
		job_queue_record_run_time(q, &job, 3 * job.expected_run_ms);
	expected_ms = job_queue_expected_run_ms(q, &job);
	g_assert_cmpint(ABS(expected_ms - 3 * job.expected_run_ms), <=, 1);
	expected_ms = job_queue_expected_run_ms(q, &other);
	g_assert_cmpint(expected_ms, ==, other.expected_run_ms);
	job_queue_free(q);
}

#define MOVE_ROUNDS 100

/* Assigns an urgent job, which is never moved, to a worker. */
static void assign_urgent_job(struct pool *pool, const char *id,
			      const char *worker)
{
	struct pool_job job = new_job(id, "c", 1, 1, ADJACENCY_NONE);
	struct placement p;

	job.class = JOB_CLASS_URGENT;
	placement_init(&p);
	g_ptr_array_add(p.workers, g_strdup(worker));
	g_assert_cmpint(pool_assign(pool, &job, &p, 0), ==, STATUS_OK);
	placement_clear(&p);
}

/*
 * Stops the jobs that a decision preempts and queues them again. Returns the
 * greatest stop count among them.
 */
static int64_t stop_and_requeue(struct pool *pool, struct job_queue *q,
				const struct job_decision *d,
				struct pool_job *jobs)
{
	int64_t max_stops = 0;

	for (guint i = 0; i < d->placement.preempt->len; i++) {
		const char *id = d->placement.preempt->pdata[i];
		struct pool_job *job = &jobs[id[0] - 'x'];

		job->stops++;
		max_stops = MAX(max_stops, job->stops);
		pool_release(pool, id);
		job_queue_submit(q, job, id[0] - 'x');
	}
	return max_stops;
}

/* Two equal jobs without checkpoints must not preempt each other for ever. */
static void test_moves_end(void)
{
	struct pool *pool = new_pool();
	struct placement_policy *policy =
		placement_policy_new(PLACEMENT_POLICY_DEFAULT);
	struct job_queue *q = job_queue_new(policy->class->discipline);
	struct pool_job jobs[] = { new_job("x", "a", 2, 8, ADJACENCY_RACK),
				   new_job("y", "b", 2, 8, ADJACENCY_RACK) };
	const struct worker_spec extra_worker = { "w4", "r2", "127.0.0.1:1",
						  8,	64,   131072 };
	int64_t max_stops = 0;

	pool_add_worker(pool, &extra_worker);
	assign_urgent_job(pool, "p", "w2");
	for (guint i = 0; i < G_N_ELEMENTS(jobs); i++) {
		jobs[i].is_checkpointable = FALSE;
		job_queue_submit(q, &jobs[i], i);
	}
	for (int64_t i = 0; i < MOVE_ROUNDS; i++) {
		struct job_decision d;
		int64_t stops = 0;

		job_decision_init(&d);
		if (job_queue_decide(q, pool, policy, i * 1000, &d) ==
		    STATUS_OK)
			stops = stop_and_requeue(pool, q, &d, jobs);
		max_stops = MAX(max_stops, stops);
		job_decision_clear(&d);
	}
	g_test_message("stopped at most %" G_GINT64_FORMAT " times", max_stops);
	g_assert_cmpint(max_stops, <=, MIGRATE_MAX_STOPS);
	job_queue_free(q);
	placement_policy_free(policy);
	pool_free(pool);
}

#define RECLAIM_JOBS 5

struct reclaim_job {
	const char *id;
	const char *account;
	int64_t class;
	struct shape shape;
	gboolean is_stopped; /* expected for the last job */
};

/*
 * What a claim takes back once earlier jobs have filled the pool. Accounts a
 * and b have a guarantee each, c has none. The last job claims.
 */
struct reclaim_case {
	const char *name;
	struct shape guarantees[2];
	struct reclaim_job jobs[RECLAIM_JOBS];
	enum status status;
};

static const struct reclaim_case reclaim_cases[] = {
	/* Urgent work beyond another account's guarantee (review, case 12). */
	{ "/pool/reclaim/urgent",
	  { { 2, 8, 8, 1024, 0 }, { 1, 8, 8, 1024, 0 } },
	  { { "b1", "b", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE },
	    { "b2", "b", JOB_CLASS_URGENT, { 3, 8, 8, 1024, 0 }, TRUE },
	    { "a", "a", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 0 }, FALSE } },
	  STATUS_OK },
	{ "/pool/reclaim/own-guarantee-kept",
	  { { 2, 8, 8, 1024, 0 }, { 2, 8, 8, 1024, 0 } },
	  { { "b1", "b", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 0 }, FALSE },
	    { "c", "c", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 0 }, TRUE },
	    { "a", "a", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 0 }, FALSE } },
	  STATUS_OK },
	{ "/pool/reclaim/lower-class-first",
	  { { 1, 8, 8, 1024, 0 }, { 1, 8, 8, 1024, 0 } },
	  { { "b1", "b", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE },
	    { "c1", "c", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE },
	    { "c2", "c", JOB_CLASS_NORMAL, { 2, 8, 8, 1024, 0 }, TRUE },
	    { "a", "a", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE } },
	  STATUS_OK },
	/* A gang in one rack, and a wide job on one worker. */
	{ "/pool/reclaim/rack",
	  { { 2, 8, 8, 1024, ADJACENCY_RACK }, { 1, 8, 8, 1024, 0 } },
	  { { "c1", "c", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 1 }, TRUE },
	    { "c2", "c", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 1 }, FALSE },
	    { "a", "a", JOB_CLASS_URGENT, { 2, 8, 8, 1024, 1 }, FALSE } },
	  STATUS_OK },
	{ "/pool/reclaim/wide",
	  { { 8, 1, 1, 1024, ADJACENCY_WORKER }, { 1, 8, 8, 1024, 0 } },
	  { { "c1", "c", JOB_CLASS_URGENT, { 3, 8, 8, 1024, 0 }, FALSE },
	    { "c2", "c", JOB_CLASS_URGENT, { 8, 1, 1, 1024, 2 }, TRUE },
	    { "a", "a", JOB_CLASS_URGENT, { 8, 1, 1, 1024, 2 }, FALSE } },
	  STATUS_OK },
	/* Urgent work beyond its guarantee stops no other urgent work. */
	{ "/pool/reclaim/beyond",
	  { { 1, 8, 8, 1024, 0 }, { 1, 8, 8, 1024, 0 } },
	  { { "a1", "a", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE },
	    { "c", "c", JOB_CLASS_URGENT, { 3, 8, 8, 1024, 0 }, FALSE },
	    { "a", "a", JOB_CLASS_URGENT, { 1, 8, 8, 1024, 0 }, FALSE } },
	  STATUS_FULL },
};

/* Places a job by the policy and assigns it. */
static enum status place(struct pool *pool, struct placement_policy *policy,
			 const struct reclaim_job *j, int64_t now_ms,
			 struct placement *p)
{
	struct pool_job job =
		new_job(j->id, j->account, j->shape.members,
			j->shape.accelerators, j->shape.adjacency);
	enum status status;

	job.class = j->class;
	job.shape = j->shape;
	status = placement_policy_place(policy, pool, &job, now_ms, p);
	if (status == STATUS_OK)
		g_assert_cmpint(pool_assign(pool, &job, p, now_ms), ==,
				STATUS_OK);
	return status;
}

static gboolean lists(const GPtrArray *ids, const char *id)
{
	return g_ptr_array_find_with_equal_func((GPtrArray *)ids, id,
						g_str_equal, NULL);
}

static void test_reclaim(gconstpointer data)
{
	const struct reclaim_case *c = data;
	struct pool *pool = new_pool();
	struct placement_policy *policy =
		placement_policy_new(PLACEMENT_POLICY_DEFAULT);
	int64_t last = 0;

	set_guarantees(pool, &c->guarantees[0], &c->guarantees[1]);
	while (last + 1 < RECLAIM_JOBS && c->jobs[last + 1].id)
		last++;
	for (int64_t i = 0; i <= last; i++) {
		struct placement p;
		enum status status;

		placement_init(&p);
		status = place(pool, policy, &c->jobs[i], (i + 1) * 1000, &p);
		g_assert_cmpint(status, ==, i < last ? STATUS_OK : c->status);
		for (int64_t k = 0; k < last; k++)
			g_assert_cmpint(lists(p.preempt, c->jobs[k].id), ==,
					i == last && c->jobs[k].is_stopped);
		placement_clear(&p);
	}
	assert_no_findings(pool);
	placement_policy_free(policy);
	pool_free(pool);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pool/could-fit", test_could_fit);
	g_test_add_func("/pool/guarantees-held", test_guarantees_held);
	g_test_add_func("/pool/assign", test_assign);
	g_test_add_func("/pool/lost-worker-in-use", test_lost_worker_in_use);
	g_test_add_func("/queue/order", test_queue_order);
	g_test_add_func("/queue/cancel", test_queue_cancel);
	g_test_add_func("/queue/refuse", test_queue_refuse);
	g_test_add_func("/queue/impossible-later", test_queue_impossible_later);
	g_test_add_func("/queue/run-time", test_queue_run_time);
	g_test_add_func("/queue/moves-end", test_moves_end);
	for (guint i = 0; i < G_N_ELEMENTS(reclaim_cases); i++)
		g_test_add_data_func(reclaim_cases[i].name, &reclaim_cases[i],
				     test_reclaim);
	return g_test_run();
}
