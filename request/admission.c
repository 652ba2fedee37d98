#include "request/admission.h"

#include <string.h>

#include "base/util.h"
#include "base/wake_plan.h"

#define ESTIMATE_WEIGHT 16.0
#define USUAL_DEVIATIONS 2.0
/** Margin before the deadline when other requests could use the slot. */
#define CROWDED_DEVIATIONS 4.0
/** Share of the slots that bulk may hold, in this process or in all. */
#define BULK_MOST 0.75
/** Share of the slots that bulk gets even when spot requests wait. */
#define BULK_LEAST 0.1
#define DEFAULT_MAX_QUEUED 4000
#define EVERYONE ""

/** Moving estimate of the time that requests take. */
struct estimate {
	double mean_ms;
	double deviation_ms;
	uint64_t samples;
};

struct line {
	GQueue items;
	double virtual_time; /**< service got so far, over the share */
	struct estimate run;
};

struct admission_account {
	char *name;
	int64_t share;
	int64_t requests_per_s;
	int64_t queued_requests;
	double tokens;
	int64_t tokens_ms;
	struct line lines[REQUEST_CLASS_COUNT];
};

struct class_state {
	uint32_t queued;
	uint32_t in_flight;
	double virtual_time;
	struct estimate run;
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
		struct admission_account_spec all = { .name = EVERYONE,
						      .share = 1 };

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
			g_queue_init(&account->lines[i].items);
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
	/* The first ones count alike: connections are set up for some. */
	weight = MIN((double)e->samples, ESTIMATE_WEIGHT);
	e->mean_ms += error_ms / weight;
	e->deviation_ms += (ABS(error_ms) - e->deviation_ms) / weight;
}

static double estimate_ms(const struct estimate *e, double deviations)
{
	return e->mean_ms + deviations * e->deviation_ms;
}

int64_t admission_service_ms(const struct admission_item *item)
{
	const struct estimate *run = &item->account->lines[item->class].run;

	return (int64_t)estimate_ms(run, USUAL_DEVIATIONS);
}

static gboolean take_token(struct admission_account *account, int64_t now_ms)
{
	double most = (double)account->requests_per_s;

	if (account->requests_per_s == 0)
		return TRUE;
	account->tokens +=
		most * (double)(now_ms - account->tokens_ms) / (double)MS_PER_S;
	account->tokens = MIN(account->tokens, most);
	account->tokens_ms = now_ms;
	if (account->tokens < 1)
		return FALSE;
	account->tokens--;
	return TRUE;
}

static double active_shares(const struct admission *a, enum request_class class,
			    const struct admission_account *but)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct admission_account *account = value;

		if (account == but || account->lines[class].items.length > 0)
			sum += (double)account->share;
	}
	return sum;
}

/*
 * Bulk waits behind all spot requests. Within its class a request waits for
 * all that are queued, or for those of its account at the account's share,
 * whichever is less.
 */
static double expected_wait_ms(const struct admission *a,
			       const struct admission_item *item)
{
	const struct class_state *class = &a->classes[item->class];
	const struct admission_account *account = item->account;
	double shares = active_shares(a, item->class, account);
	double own = account->lines[item->class].items.length * shares /
		     (double)account->share;
	double work_ms = MIN(own, class->queued) * class->run.mean_ms;
	uint32_t slots = MAX(a->slots, admission_in_flight(a));

	if (item->class == REQUEST_BULK)
		work_ms += a->classes[REQUEST_SPOT].queued *
			   a->classes[REQUEST_SPOT].run.mean_ms;
	return work_ms / slots;
}

/*
 * A class with nothing in flight is always let through: else an estimate that
 * has become too high would refuse all that could correct it.
 */
static gboolean can_finish(const struct admission *a,
			   const struct admission_item *item, double wait_ms,
			   int64_t now_ms)
{
	const struct class_state *class = &a->classes[item->class];
	const struct line *line = &item->account->lines[item->class];
	double deviations = class->queued > 0 ? CROWDED_DEVIATIONS : 0;

	if (now_ms >= item->deadline_ms)
		return FALSE;
	if (class->in_flight == 0)
		return TRUE;
	return (double)now_ms + wait_ms + estimate_ms(&line->run, deviations) <=
	       (double)item->deadline_ms;
}

static void unlink_item(struct admission *a, struct admission_item *item)
{
	g_queue_unlink(&item->account->lines[item->class].items, &item->link);
	item->link.data = NULL;
	a->classes[item->class].queued--;
}

static void link_item(struct admission *a, struct admission_item *item,
		      gboolean is_first)
{
	struct line *line = &item->account->lines[item->class];
	struct class_state *class = &a->classes[item->class];

	if (g_queue_is_empty(&line->items))
		line->virtual_time =
			MAX(line->virtual_time, class->virtual_time);
	item->link.data = item;
	if (is_first)
		g_queue_push_head_link(&line->items, &item->link);
	else
		g_queue_push_tail_link(&line->items, &item->link);
	class->queued++;
}

/* The account whose queue of the class is longest for its share. */
static struct admission_account *longest_line(const struct admission *a,
					      enum request_class class)
{
	struct admission_account *worst = NULL;
	GHashTableIter iter;
	gpointer value;
	double most = 0;

	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_account *account = value;
		double len = account->lines[class].items.length /
			     (double)account->share;

		if (len > most) {
			most = len;
			worst = account;
		}
	}
	return worst;
}

/* Drops bulk before spot, and from the account that is most over its share. */
static struct admission_item *shed_for(struct admission *a,
				       const struct admission_item *item)
{
	for (int class = REQUEST_BULK; class >= (int)item->class; class --) {
		struct admission_account *worst = longest_line(a, class);
		struct admission_item *last;

		if (!worst)
			continue;
		if (class == (int)item->class && worst == item->account)
			return NULL;
		last = g_queue_peek_tail(&worst->lines[class].items);
		unlink_item(a, last);
		return last;
	}
	return NULL;
}

static enum reason check_limits(struct admission *a,
				struct admission_item *item, int64_t now_ms)
{
	struct admission_account *account = item->account;
	struct line *line = &account->lines[item->class];

	if (!take_token(account, now_ms))
		return REASON_RATE_LIMIT;
	if (line->items.length >= (guint)account->queued_requests)
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
		account = EVERYONE;
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
	link_item(a, item, FALSE);
	return REASON_NONE;
}

/* Start-time fair queueing: the account that got least for its share. */
static struct admission_item *pick(const struct admission *a,
				   enum request_class class)
{
	struct admission_account *best = NULL;
	GHashTableIter iter;
	gpointer value;

	if (a->classes[class].queued == 0)
		return NULL;
	g_hash_table_iter_init(&iter, a->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct admission_account *account = value;
		struct line *line = &account->lines[class];

		if (g_queue_is_empty(&line->items))
			continue;
		if (!best ||
		    line->virtual_time < best->lines[class].virtual_time)
			best = account;
	}
	return best ? g_queue_peek_head(&best->lines[class].items) : NULL;
}

static enum request_class choose_class(const struct admission *a)
{
	const struct class_state *spot = &a->classes[REQUEST_SPOT];
	const struct class_state *bulk = &a->classes[REQUEST_BULK];
	uint32_t least = MAX((uint32_t)(BULK_LEAST * a->slots), 1);
	uint32_t most = MAX((uint32_t)(BULK_MOST * a->slots), 1);

	if (bulk->queued > 0 && bulk->in_flight < least)
		return REQUEST_BULK;
	if (spot->queued > 0)
		return REQUEST_SPOT;
	if (bulk->queued > 0 &&
	    (bulk->in_flight < most || a->occupancy < BULK_MOST))
		return REQUEST_BULK;
	return REQUEST_CLASS_COUNT;
}

/* Charges the account for the slot time that the request is likely to use. */
static void charge(struct admission *a, struct admission_item *item)
{
	struct line *line = &item->account->lines[item->class];

	item->cost = MAX(line->run.mean_ms, 1) / (double)item->account->share;
	a->classes[item->class].virtual_time = line->virtual_time;
	line->virtual_time += item->cost;
}

static struct admission_item *next_unlimited(struct admission *a)
{
	struct admission_account *all;
	struct admission_item *item = NULL;

	all = g_hash_table_lookup(a->accounts, EVERYONE);
	for (int i = 0; i < REQUEST_CLASS_COUNT; i++) {
		struct admission_item *head =
			g_queue_peek_head(&all->lines[i].items);

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
			item = pick(a, class);
		}
		if (!item)
			return NULL;
		unlink_item(a, item);
		if (a->options.has_no_limits || can_finish(a, item, 0, now_ms))
			break;
		g_ptr_array_add(late, item);
	}
	charge(a, item);
	item->start_ms = now_ms;
	a->classes[item->class].in_flight++;
	return item;
}

void admission_put_back(struct admission *a, struct admission_item *item)
{
	a->classes[item->class].in_flight--;
	item->account->lines[item->class].virtual_time -= item->cost;
	link_item(a, item, TRUE);
}

void admission_remove(struct admission *a, struct admission_item *item)
{
	if (item->link.data)
		unlink_item(a, item);
}

void admission_done(struct admission *a, struct admission_item *item,
		    int64_t run_ms)
{
	a->classes[item->class].in_flight--;
	if (run_ms < 0)
		return;
	estimate_add(&a->classes[item->class].run, (double)run_ms);
	estimate_add(&item->account->lines[item->class].run, (double)run_ms);
}

static void expire_line(struct admission *a, struct line *line, int64_t now_ms,
			GPtrArray *late)
{
	GList *next;

	for (GList *l = line->items.head; l; l = next) {
		struct admission_item *item = l->data;

		next = l->next;
		if (can_finish(a, item, 0, now_ms))
			continue;
		unlink_item(a, item);
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
			expire_line(a, &account->lines[i], now_ms, late);
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
