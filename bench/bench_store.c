/**
 * @file
 * Measures in virtual time the load on a store that recovers from an outage,
 * while many nodes have a backlog of writes. Compares the client's breaker and
 * budget with simpler retry policies.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "bench/sim/bounds.h"
#include "store/breaker.h"
#include "store/store_budget.h"

#define SEEDS 5
#define STEP_MS INT64_C(5)
#define OUTAGE_MS INT64_C(30000)
#define END_MS INT64_C(90000)
/*
 * The requirement is several hundred writes per second. The store gets a low
 * value and the bound a high one, since a queue only builds up when more is
 * offered than served.
 */
#define CAPACITY_PER_S INT64_C(300)
#define MAX_OFFERED_PER_S INT64_C(500)
#define TIMEOUT_MS INT64_C(1000)
#define BACKLOG_WRITES 20	       /* per node, waiting from the start */
#define NEW_WRITE_INTERVAL_MS MS_PER_S /* per node, after the outage */
#define MAX_IN_FLIGHT 16	       /* calls per node */
#define FIXED_RETRY_MS 100	       /* of RETRY_FIXED */
#define MAX_BACKOFF_MS 5000 /* of RETRY_EXPONENTIAL and RETRY_JITTER */
#define REFUSAL_MS 5	    /* time until a call fails during the outage */
#define NEVER_MS INT64_MAX
#define MAX_EXTRA_RECOVERY_MS 10000 /* beyond the time to write the backlog */

enum retry_policy {
	RETRY_FIXED,
	RETRY_EXPONENTIAL,
	RETRY_JITTER,
	RETRY_BREAKER,
	RETRY_COUNT,
};

static const char *const retry_names[] = { "fixed retry", "exponential",
					   "exponential, jitter",
					   "breaker, budget" };

struct write {
	int64_t due_ms;	     /* time of the next attempt */
	int64_t sent_ms;     /* time of the attempt in flight, -1 for none */
	guint attempt;	     /* number of attempts so far */
	uint32_t generation; /* of the breaker at the last attempt */
	gboolean is_done;
};

struct node {
	GPtrArray *writes; /* of struct write not done yet, not owned */
	struct breaker breaker;
	struct store_budget budget;
	guint in_flight;
};

/* An attempt in the store's queue. */
struct arrival {
	struct node *node;
	struct write *write;
	guint attempt;
};

struct bench {
	enum retry_policy retry;
	GRand *rng;
	struct node *nodes;
	guint node_count;
	GPtrArray *all_writes; /* owner of all struct write */
	GQueue queue;	       /* of struct arrival */
	double credit;	       /* writes that the store may serve now */
	int64_t attempts_by_s[END_MS / MS_PER_S];
	int64_t outage_attempts;
	int64_t wasted;		 /* attempts served after their timeout */
	int64_t backlog_done_ms; /* after the outage */
	/* Starts at the size of the backlog, less 1 per finished write. */
	guint64 backlog_left;
};

static void add_write(struct bench *b, struct node *n, int64_t now_ms)
{
	struct write *w = g_new0(struct write, 1);

	w->due_ms = now_ms;
	w->sent_ms = -1;
	g_ptr_array_add(n->writes, w);
	g_ptr_array_add(b->all_writes, w);
}

static int64_t retry_delay_ms(struct bench *b, const struct write *w)
{
	int64_t delay = FIXED_RETRY_MS;

	if (b->retry == RETRY_FIXED || b->retry == RETRY_BREAKER)
		return FIXED_RETRY_MS;
	for (guint i = 1; i < w->attempt && delay < MAX_BACKOFF_MS; i++)
		delay *= 2;
	delay = MIN(delay, MAX_BACKOFF_MS);
	if (b->retry == RETRY_JITTER)
		delay = (int64_t)((double)delay *
				  g_rand_double_range(b->rng, 0.5, 1));
	return delay;
}

static void fail_write(struct bench *b, struct node *n, struct write *w,
		       int64_t now_ms)
{
	w->sent_ms = -1;
	n->in_flight--;
	w->due_ms = now_ms + retry_delay_ms(b, w);
	if (b->retry == RETRY_BREAKER)
		breaker_failure(&n->breaker, w->generation, now_ms, b->rng);
}

static gboolean may_send(struct bench *b, struct node *n, int64_t now_ms)
{
	if (n->in_flight >= MAX_IN_FLIGHT)
		return FALSE;
	if (b->retry != RETRY_BREAKER)
		return TRUE;
	if (n->breaker.state == BREAKER_OPEN ||
	    n->breaker.state == BREAKER_HALF_OPEN)
		return breaker_allow(&n->breaker, now_ms);
	store_budget_set_share(&n->budget, breaker_share(&n->breaker), now_ms);
	return store_budget_take(&n->budget, STORE_PRIORITY_HIGH, now_ms);
}

static void send_write(struct bench *b, struct node *n, struct write *w,
		       int64_t now_ms)
{
	struct arrival *a;

	w->sent_ms = now_ms;
	w->attempt++;
	w->generation = n->breaker.generation;
	n->in_flight++;
	b->attempts_by_s[now_ms / MS_PER_S]++;
	if (now_ms < OUTAGE_MS) {
		b->outage_attempts++;
		return;
	}
	a = g_new0(struct arrival, 1);
	a->node = n;
	a->write = w;
	a->attempt = w->attempt;
	g_queue_push_tail(&b->queue, a);
}

static void node_step(struct bench *b, struct node *n, int64_t now_ms)
{
	for (guint i = 0; i < n->writes->len; i++) {
		struct write *w = n->writes->pdata[i];
		int64_t limit_ms =
			w->sent_ms < OUTAGE_MS ? REFUSAL_MS : TIMEOUT_MS;

		if (w->sent_ms >= 0) {
			if (now_ms - w->sent_ms >= limit_ms)
				fail_write(b, n, w, now_ms);
			continue;
		}
		if (w->due_ms <= now_ms && may_send(b, n, now_ms))
			send_write(b, n, w, now_ms);
	}
}

static void serve(struct bench *b, const struct arrival *a, int64_t now_ms)
{
	struct write *w = a->write;
	gboolean is_awaited = w->sent_ms >= 0 && w->attempt == a->attempt;

	if (w->is_done || !is_awaited) {
		b->wasted++;
		return;
	}
	w->is_done = TRUE;
	a->node->in_flight--;
	g_ptr_array_remove(a->node->writes, w);
	breaker_success(&a->node->breaker, w->generation, now_ms - w->sent_ms,
			now_ms);
	if (b->backlog_left && --b->backlog_left == 0)
		b->backlog_done_ms = now_ms - OUTAGE_MS;
}

static void store_step(struct bench *b, int64_t now_ms)
{
	if (now_ms < OUTAGE_MS)
		return;
	b->credit += (double)(CAPACITY_PER_S * STEP_MS) / MS_PER_S;
	while (b->credit >= 1 && !g_queue_is_empty(&b->queue)) {
		struct arrival *a = g_queue_pop_head(&b->queue);

		serve(b, a, now_ms);
		g_free(a);
		b->credit -= 1;
	}
	if (g_queue_is_empty(&b->queue))
		b->credit = MIN(b->credit, 1);
}

static void add_new_writes(struct bench *b, int64_t now_ms)
{
	for (guint i = 0; i < b->node_count; i++) {
		int64_t phase_ms =
			(int64_t)i * NEW_WRITE_INTERVAL_MS / b->node_count;

		if (now_ms < OUTAGE_MS ||
		    (now_ms + phase_ms) % NEW_WRITE_INTERVAL_MS >= STEP_MS)
			continue;
		add_write(b, &b->nodes[i], now_ms);
	}
}

static void bench_init(struct bench *b, enum retry_policy retry, guint nodes,
		       guint32 seed)
{
	memset(b, 0, sizeof(*b));
	b->retry = retry;
	b->rng = g_rand_new_with_seed(seed);
	b->nodes = g_new0(struct node, nodes);
	b->node_count = nodes;
	b->all_writes = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&b->queue);
	b->backlog_left = (guint64)nodes * BACKLOG_WRITES;
	for (guint i = 0; i < nodes; i++) {
		struct node *n = &b->nodes[i];

		n->writes = g_ptr_array_new();
		breaker_init(&n->breaker, &breaker_config_default);
		store_budget_init(&n->budget, &store_budget_writes, 0);
		for (int j = 0; j < BACKLOG_WRITES; j++)
			add_write(b, n, 0);
	}
}

static void bench_clear(struct bench *b)
{
	for (guint i = 0; i < b->node_count; i++)
		g_ptr_array_unref(b->nodes[i].writes);
	g_free(b->nodes);
	g_queue_clear_full(&b->queue, g_free);
	g_ptr_array_unref(b->all_writes);
	g_rand_free(b->rng);
}

struct result {
	int64_t peak_attempts_per_s; /* after the outage */
	double outage_attempts_per_s;
	int64_t wasted;
	int64_t backlog_done_ms; /* after the outage, NEVER_MS if not done */
};

static struct result run(enum retry_policy retry, guint nodes, guint32 seed)
{
	struct bench b;
	struct result r = { 0 };

	bench_init(&b, retry, nodes, seed);
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms += STEP_MS) {
		add_new_writes(&b, now_ms);
		for (guint i = 0; i < nodes; i++)
			node_step(&b, &b.nodes[i], now_ms);
		store_step(&b, now_ms);
	}
	for (int64_t s = OUTAGE_MS / MS_PER_S; s < END_MS / MS_PER_S; s++)
		r.peak_attempts_per_s =
			MAX(r.peak_attempts_per_s, b.attempts_by_s[s]);
	r.outage_attempts_per_s =
		(double)b.outage_attempts / ((double)OUTAGE_MS / MS_PER_S);
	r.wasted = b.wasted;
	r.backlog_done_ms = b.backlog_left ? NEVER_MS : b.backlog_done_ms;
	bench_clear(&b);
	return r;
}

static struct bounds bounds;

static void check_result(const struct result *r, guint nodes)
{
	int64_t ideal_ms =
		(int64_t)nodes * BACKLOG_WRITES * MS_PER_S / CAPACITY_PER_S;

	bounds_check(&bounds, "writes offered per second",
		     (double)r->peak_attempts_per_s, (double)MAX_OFFERED_PER_S,
		     "requirement: several hundred writes/s");
	bounds_check(&bounds, "wasted writes", (double)r->wasted, 0,
		     "issue 6: recovering store not overloaded");
	bounds_check(&bounds, "ms until the backlog is written",
		     (double)r->backlog_done_ms,
		     (double)(ideal_ms + MAX_EXTRA_RECOVERY_MS),
		     "issue 4: earlier goodput within 10 s");
}

/* Returns the worst of each figure over all seeds. */
static struct result run_seeds(enum retry_policy retry, guint nodes)
{
	struct result worst = { 0 };

	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		struct result r = run(retry, nodes, seed);

		worst.peak_attempts_per_s =
			MAX(worst.peak_attempts_per_s, r.peak_attempts_per_s);
		worst.outage_attempts_per_s = MAX(worst.outage_attempts_per_s,
						  r.outage_attempts_per_s);
		worst.wasted = MAX(worst.wasted, r.wasted);
		worst.backlog_done_ms =
			MAX(worst.backlog_done_ms, r.backlog_done_ms);
	}
	return worst;
}

static void print_result(enum retry_policy retry, guint nodes,
			 const struct result *r)
{
	char *done_ms = g_strdup("never");

	if (r->backlog_done_ms != NEVER_MS) {
		g_free(done_ms);
		done_ms = g_strdup_printf("%" G_GINT64_FORMAT,
					  r->backlog_done_ms);
	}
	printf("%-20s %6u %10.1f %10" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
	       " %12s\n",
	       retry_names[retry], nodes, r->outage_attempts_per_s,
	       r->peak_attempts_per_s, r->wasted, done_ms);
	g_free(done_ms);
}

int main(int argc, char **argv)
{
	static const guint sizes[] = { 8, 80, 160 };
	gboolean is_check = argc > 1 && g_str_equal(argv[1], "--check");

	printf("Store of %" G_GINT64_FORMAT
	       " writes/s after an outage of %" G_GINT64_FORMAT
	       " s, %d writes waiting at each node, worst of %d seeds\n",
	       CAPACITY_PER_S, OUTAGE_MS / MS_PER_S, BACKLOG_WRITES, SEEDS);
	printf("%-20s %6s %10s %10s %8s %12s\n", "way", "nodes", "down/s",
	       "peak/s", "wasted", "through_ms");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		for (int retry = 0; retry < RETRY_COUNT; retry++) {
			struct result r =
				run_seeds((enum retry_policy)retry, sizes[i]);

			print_result((enum retry_policy)retry, sizes[i], &r);
			if (is_check && retry == RETRY_BREAKER)
				check_result(&r, sizes[i]);
		}
	}
	if (is_check)
		bounds_print(&bounds);
	return bounds_exit_code(&bounds);
}
