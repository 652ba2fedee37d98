#include "request/admission.h"

#include <string.h>

#include "base/util.h"
#include "base/wake_plan.h"

/** Window of the moving averages of run times. */
#define ESTIMATE_EWMA_SAMPLES 16.0
/** Deviations above the mean that cover most requests. */
#define SERVICE_TIME_DEVIATIONS 2.0
/** Margin before the deadline when other requests wait for the slot. */
#define CONTENDED_DEVIATIONS 4.0
/**
 * Share of the slots that bulk may hold in this process; it may hold more while
 * the occupancy by all processes is below this share.
 */
#define BULK_MAX_SHARE 0.75
/** Share of the slots that bulk gets even if spot requests are queued. */
#define BULK_MIN_SHARE 0.1
#define DEFAULT_MAX_QUEUED 4000
/** Name of the only account when limits are off. */
#define SINGLE_ACCOUNT_NAME ""

/** Moving averages of the run time of requests. */
struct estimate {
	double mean_ms;
	double deviation_ms;
	uint64_t samples;
};

/** Queue of one account and class. */
struct account_queue {
	GQueue items;
	double virtual_time; /**< service received, divided by the share */
	struct estimate run_time;
};

struct admission_account {
	char *name;
	int64_t share;
	int64_t requests_per_s;
	int64_t queued_requests;
	double tokens;	   /**< of the rate limit */
	int64_t tokens_ms; /**< time of the last refill */
	struct account_queue queues[REQUEST_CLASS_COUNT];
};

struct class_state {
	uint32_t queued;
	uint32_t in_flight;
	double virtual_time; /**< of the queue served last */
	struct estimate run_time;
};

struct admission {
	struct admission_options options;
	GHashTable *accounts; /**< name to struct admission_account */
	struct class_state classes[REQUEST_CLASS_COUNT];
	uint32_t slots;
	double occupancy;
};

static void account_free(gpointer data)
{
	struct admission_account *a = data;

	g_free(a->name);
	g_free(a);
}

struct admission *admission_new(const struct admission_options *options)
{
	struct admission *a = g_new0(struct admission, 1);

	a->options = *options;
	if (a->options.max_queued == 0)
		a->options.max_queued = DEFAULT_MAX_QUEUED;
	a->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    account_free);
	a->slots = 1;
	if (options->has_no_limits) {
		struct admission_account_spec all = {
			.name = SINGLE_ACCOUNT_NAME, .share = 1
		};

		admission_set_account(a, &all, 0);
	}
	return a;
}

void admission_free(struct admission *a)
{
	g_hash_table_unref(a->accounts);
	g_free(a);
}

void admission_set_account(struct admission *a,
			   const struct admission_account_spec *spec,
			   int64_t now_ms)
{
	struct admission_account *account;

	account = g_hash_table_lookup(a->accounts, spec->name);
	if (!account) {
		account = g_new0(struct admission_account, 1);
		account->name = g_strdup(spec->name);
		account->tokens = (double)spec->requests_per_s;
		account->tokens_ms = now_ms;
		for (int i = 0; i < REQUEST_CLASS_COUNT; i++)
			g_queue_init(&account->queues[i].items);
		g_hash_table_insert(a->accounts, account->name, account);
	}
	account->share = MAX(spec->share, 1);
	account->requests_per_s = spec->requests_per_s;
	account->queued_requests = spec->queued_requests;
}

void admission_set_capacity(struct admission *a, uint32_t slots,
			    double occupancy)
{
	a->slots = MAX(slots, 1);
	a->occupancy = occupancy;
}

static void estimate_add(struct estimate *e, double value_ms)
{
	double error_ms = value_ms - e->mean_ms;
	double weight;

	e->samples++;
	if (e->samples == 1) {
		e->mean_ms = value_ms;
		e->deviation_ms = value_ms / 2;
		return;
	}
	/* Equal weights at first, as early samples may include a connect. */
	weight = MIN((double)e->samples, ESTIMATE_EWMA_SAMPLES);
	e->mean_ms += error_ms / weight;
	e->deviation_ms += (ABS(error_ms) - e->deviation_ms) / weight;
}

static double estimate_ms(const struct estimate *e, double deviations)
{
	return e->mean_ms + deviations * e->deviation_ms;
}

int64_t admission_service_ms(const struct admission_item *item)
{
	const struct estimate *run =
		&item->account->queues[item->class].run_time;

	return (int64_t)estimate_ms(run, SERVICE_TIME_DEVIATIONS);
}

static gboolean take_token(struct admission_account *account, int64_t now_ms)
{
	double max_tokens = (double)account->requests_per_s;

	if (account->requests_per_s == 0)
		return TRUE;
	account->tokens += max_tokens * (double)(now_ms - account->tokens_ms) /
			   (double)MS_PER_S;
	account->tokens = MIN(account->tokens, max_tokens);
	account->tokens_ms = now_ms;
	if (account->tokens < 1)
		return FALSE;
	account->tokens--;
	return TRUE;
}

static double sum_active_shares(const struct admission *a,
				enum request_class class,
				const struct admission_account *arriving)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct admission_account *account = value;

		if (account == arriving ||
		    account->queues[class].items.length > 0)
			sum += (double)account->share;
	}
	return sum;
}

/*
 * A bulk request waits for all queued spot requests. Within its class a request
 * waits for all queued requests, or for those of its account at the account's
 * share of the slots, whichever takes less time.
 */
static double expected_wait_ms(const struct admission *a,
			       const struct admission_item *item)
{
	const struct class_state *class = &a->classes[item->class];
	const struct admission_account *account = item->account;
	double shares = sum_active_shares(a, item->class, account);
	double own = account->queues[item->class].items.length * shares /
		     (double)account->share;
	double work_ms = MIN(own, class->queued) * class->run_time.mean_ms;
	uint32_t slots = MAX(a->slots, admission_in_flight(a));

	if (item->class == REQUEST_BULK)
		work_ms += a->classes[REQUEST_SPOT].queued *
			   a->classes[REQUEST_SPOT].run_time.mean_ms;
	return work_ms / slots;
}

/*
 * A class with nothing in flight passes regardless of the estimate: an estimate
 * that is too high would otherwise refuse every request that could correct it.
 */
static gboolean can_finish(const struct admission *a,
			   const struct admission_item *item, double wait_ms,
			   int64_t now_ms)
{
	const struct class_state *class = &a->classes[item->class];
	const struct account_queue *queue = &item->account->queues[item->class];
	double deviations = class->queued > 0 ? CONTENDED_DEVIATIONS : 0;

	if (now_ms >= item->deadline_ms)
		return FALSE;
	if (class->in_flight == 0)
		return TRUE;
	return (double)now_ms + wait_ms +
		       estimate_ms(&queue->run_time, deviations) <=
	       (double)item->deadline_ms;
}

static void queue_unlink_item(struct admission *a, struct admission_item *item)
{
	g_queue_unlink(&item->account->queues[item->class].items, &item->link);
	item->link.data = NULL;
	a->classes[item->class].queued--;
}

static void queue_link_item(struct admission *a, struct admission_item *item,
			    gboolean is_first)
{
	struct account_queue *queue = &item->account->queues[item->class];
	struct class_state *class = &a->classes[item->class];

	if (g_queue_is_empty(&queue->items))
		queue->virtual_time =
			MAX(queue->virtual_time, class->virtual_time);
	item->link.data = item;
	if (is_first)
		g_queue_push_head_link(&queue->items, &item->link);
	else
		g_queue_push_tail_link(&queue->items, &item->link);
	class->queued++;
}

/* Returns the account with the longest queue of the class per share. */
static struct admission_account *
longest_queue_account(const struct admission *a, enum request_class class)
{
	struct admission_account *longest = NULL;
	GHashTableIter iter;
	gpointer value;
	double max_len = 0;

	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_account *account = value;
		double len = account->queues[class].items.length /
			     (double)account->share;

		if (len > max_len) {
			max_len = len;
			longest = account;
		}
	}
	return longest;
}

/*
 * Sheds the newest item of the account with the longest queue per share, bulk
 * before spot. Returns NULL if that would be the arriving item itself.
 */
static struct admission_item *shed_for(struct admission *a,
				       const struct admission_item *item)
{
	for (int class = REQUEST_BULK; class >= (int)item->class; class --) {
		struct admission_account *longest =
			longest_queue_account(a, class);
		struct admission_item *last;

		if (!longest)
			continue;
		if (class == (int)item->class && longest == item->account)
			return NULL;
		last = g_queue_peek_tail(&longest->queues[class].items);
		queue_unlink_item(a, last);
		return last;
	}
	return NULL;
}

static enum reason check_limits(struct admission *a,
				struct admission_item *item, int64_t now_ms)
{
	struct admission_account *account = item->account;
	struct account_queue *queue = &account->queues[item->class];

	if (!take_token(account, now_ms))
		return REASON_RATE_LIMIT;
	if (queue->items.length >= (guint)account->queued_requests)
		return REASON_QUEUE_FULL;
	if (!can_finish(a, item, expected_wait_ms(a, item), now_ms))
		return REASON_DEADLINE;
	return REASON_NONE;
}

enum reason admission_offer(struct admission *a, struct admission_item *item,
			    const char *account, int64_t now_ms,
			    struct admission_item **shed)
{
	enum reason reason;

	*shed = NULL;
	if (a->options.has_no_limits)
		account = SINGLE_ACCOUNT_NAME;
	item->account = g_hash_table_lookup(a->accounts, account);
	if (!item->account)
		return REASON_UNKNOWN_ACCOUNT;
	if (!a->options.has_no_limits) {
		reason = check_limits(a, item, now_ms);
		if (reason != REASON_NONE)
			return reason;
		if (admission_queued(a) >= a->options.max_queued) {
			*shed = shed_for(a, item);
			if (!*shed)
				return REASON_QUEUE_FULL;
		}
	}
	queue_link_item(a, item, FALSE);
	return REASON_NONE;
}

/* Start-time fair queueing: takes the account with the least virtual time. */
static struct admission_item *next_fair(const struct admission *a,
					enum request_class class)
{
	struct admission_account *least_served = NULL;
	GHashTableIter iter;
	gpointer value;

	if (a->classes[class].queued == 0)
		return NULL;
	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_account *account = value;
		struct account_queue *queue = &account->queues[class];

		if (g_queue_is_empty(&queue->items))
			continue;
		if (!least_served ||
		    queue->virtual_time <
			    least_served->queues[class].virtual_time)
			least_served = account;
	}
	return least_served
		       ? g_queue_peek_head(&least_served->queues[class].items)
		       : NULL;
}

static enum request_class choose_class(const struct admission *a)
{
	const struct class_state *spot = &a->classes[REQUEST_SPOT];
	const struct class_state *bulk = &a->classes[REQUEST_BULK];
	uint32_t min_bulk = MAX((uint32_t)(BULK_MIN_SHARE * a->slots), 1);
	uint32_t max_bulk = MAX((uint32_t)(BULK_MAX_SHARE * a->slots), 1);

	if (bulk->queued > 0 && bulk->in_flight < min_bulk)
		return REQUEST_BULK;
	if (spot->queued > 0)
		return REQUEST_SPOT;
	if (bulk->queued > 0 &&
	    (bulk->in_flight < max_bulk || a->occupancy < BULK_MAX_SHARE))
		return REQUEST_BULK;
	return REQUEST_CLASS_COUNT;
}

/* Charges the account for the expected run time of the request. */
static void charge(struct admission *a, struct admission_item *item)
{
	struct account_queue *queue = &item->account->queues[item->class];

	item->cost =
		MAX(queue->run_time.mean_ms, 1) / (double)item->account->share;
	a->classes[item->class].virtual_time = queue->virtual_time;
	queue->virtual_time += item->cost;
}

static struct admission_item *next_unlimited(struct admission *a)
{
	struct admission_account *all;
	struct admission_item *item = NULL;

	all = g_hash_table_lookup(a->accounts, SINGLE_ACCOUNT_NAME);
	for (int i = 0; i < REQUEST_CLASS_COUNT; i++) {
		struct admission_item *head =
			g_queue_peek_head(&all->queues[i].items);

		if (head && (!item || head->arrival_ms < item->arrival_ms))
			item = head;
	}
	return item;
}

struct admission_item *admission_next(struct admission *a, int64_t now_ms,
				      GPtrArray *late)
{
	struct admission_item *item;

	for (;;) {
		enum request_class class;

		if (a->options.has_no_limits) {
			item = next_unlimited(a);
		} else {
			class = choose_class(a);
			if (class == REQUEST_CLASS_COUNT)
				return NULL;
			item = next_fair(a, class);
		}
		if (!item)
			return NULL;
		queue_unlink_item(a, item);
		if (a->options.has_no_limits || can_finish(a, item, 0, now_ms))
			break;
		g_ptr_array_add(late, item);
	}
	charge(a, item);
	item->start_ms = now_ms;
	a->classes[item->class].in_flight++;
	return item;
}

void admission_requeue(struct admission *a, struct admission_item *item)
{
	a->classes[item->class].in_flight--;
	item->account->queues[item->class].virtual_time -= item->cost;
	queue_link_item(a, item, TRUE);
}

void admission_remove(struct admission *a, struct admission_item *item)
{
	if (item->link.data)
		queue_unlink_item(a, item);
}

void admission_done(struct admission *a, struct admission_item *item,
		    int64_t run_ms)
{
	a->classes[item->class].in_flight--;
	if (run_ms < 0)
		return;
	estimate_add(&a->classes[item->class].run_time, (double)run_ms);
	estimate_add(&item->account->queues[item->class].run_time,
		     (double)run_ms);
}

static void queue_expire(struct admission *a, struct account_queue *queue,
			 int64_t now_ms, GPtrArray *late)
{
	GList *next;

	for (GList *l = queue->items.head; l; l = next) {
		struct admission_item *item = l->data;

		next = l->next;
		if (can_finish(a, item, 0, now_ms))
			continue;
		queue_unlink_item(a, item);
		g_ptr_array_add(late, item);
	}
}

void admission_expire(struct admission *a, int64_t now_ms, GPtrArray *late)
{
	GHashTableIter iter;
	gpointer value;

	if (a->options.has_no_limits)
		return;
	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_account *account = value;

		for (int i = 0; i < REQUEST_CLASS_COUNT; i++)
			queue_expire(a, &account->queues[i], now_ms, late);
	}
}

int64_t admission_due_ms(const struct admission *a, int64_t now_ms)
{
	return admission_queued(a) > 0 ? now_ms : WAKE_NEVER;
}

uint32_t admission_queued(const struct admission *a)
{
	return a->classes[REQUEST_SPOT].queued +
	       a->classes[REQUEST_BULK].queued;
}

uint32_t admission_in_flight(const struct admission *a)
{
	return a->classes[REQUEST_SPOT].in_flight +
	       a->classes[REQUEST_BULK].in_flight;
}
