/*
 * Renewals shared with the other schedulers of the failure domain. A delegate
 * asks each second with what it has seen; the answer is its share. Shares are
 * made anew from what is known at each answer, so that a lost message costs
 * nothing but time. All decisions and commands stay here.
 */
#include "job/scheduler_state.h"

#include "base/util.h"
#include "base/wake_plan.h"

/* Sums of as many workers as there may be stay positive. */
#define VERSION_SHIFT 20

struct delegate_seen {
	int64_t heard_ms;
	guint workers; /* meant for it */
};

guint scheduler_peers(const struct scheduler *s)
{
	/* Each caretaker calls all workers itself. */
	return s->phase == SCHEDULER_CARETAKER ? 1 : s->schedulers;
}

void scheduler_set_schedulers(struct scheduler *s, guint count)
{
	s->schedulers = MAX(count, 1);
}

void scheduler_forget_delegates(struct scheduler *s)
{
	g_hash_table_remove_all(s->delegates);
	s->is_share_stale = TRUE;
}

static gboolean is_sharing(const struct scheduler *s)
{
	return s->phase == SCHEDULER_ACTIVE &&
	       (s->shares_always ||
		worker_renewals_are_shared(s->listed_workers, s->schedulers));
}

/* A share that nobody renews is renewed here at once, before another gets it.
 */
static void take_back(struct scheduler *s, const char *node)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		if (c->delegate != node)
			continue;
		c->is_due = c->is_due || c->is_shared;
		c->is_shared = FALSE;
		c->delegate = NULL;
	}
}

void scheduler_check_delegates(struct scheduler *s, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer node;
	gpointer item;

	g_hash_table_iter_init(&iter, s->delegates);
	while (g_hash_table_iter_next(&iter, &node, &item)) {
		const struct delegate_seen *d = item;

		if (now_ms < d->heard_ms + RENEWAL_SILENCE_MS)
			continue;
		take_back(s, node);
		g_hash_table_iter_remove(&iter);
		s->is_share_stale = TRUE;
	}
}

int64_t scheduler_delegates_due_ms(const struct scheduler *s)
{
	int64_t due_ms = WAKE_NEVER;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->delegates);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct delegate_seen *d = item;

		due_ms = MIN(due_ms, d->heard_ms + RENEWAL_SILENCE_MS);
	}
	return due_ms;
}

static guint count_listed(const struct scheduler *s)
{
	GHashTableIter iter;
	gpointer item;
	guint count = 0;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		count += ((struct worker_contact *)item)->is_listed ? 1 : 0;
	return count;
}

static struct delegate_seen *find_delegate(const struct scheduler *s,
					   const char *node)
{
	return node ? g_hash_table_lookup(s->delegates, node) : NULL;
}

/* Counts anew, and frees what is above an equal share. */
static guint keep_shares(struct scheduler *s, guint share)
{
	GHashTableIter iter;
	gpointer item;
	guint own = 0;

	g_hash_table_iter_init(&iter, s->delegates);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((struct delegate_seen *)item)->workers = 0;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;
		struct delegate_seen *d = find_delegate(s, c->delegate);

		if (d && (!c->is_listed || d->workers >= share))
			c->delegate = NULL;
		else if (d)
			d->workers++;
		own += c->is_listed && !c->delegate ? 1 : 0;
	}
	return own;
}

/* Deals what this process has above an equal share; few workers move. */
static void deal_shares(struct scheduler *s)
{
	guint parts = g_hash_table_size(s->delegates) + 1;
	guint share = (count_listed(s) + parts - 1) / parts;
	guint own = keep_shares(s, share);
	GHashTableIter workers;
	GHashTableIter delegates;
	gpointer item;
	gpointer node;

	s->is_share_stale = FALSE;
	g_hash_table_iter_init(&workers, s->workers);
	g_hash_table_iter_init(&delegates, s->delegates);
	while (g_hash_table_iter_next(&delegates, &node, &item)) {
		struct delegate_seen *d = item;

		while (own > share && d->workers < share &&
		       g_hash_table_iter_next(&workers, NULL, &item)) {
			struct worker_contact *c = item;

			if (!c->is_listed || c->delegate)
				continue;
			c->delegate = node;
			d->workers++;
			own--;
		}
	}
}

/* Returns the scheduler's own copy of the delegate's name. */
static const char *hear_delegate(struct scheduler *s, const char *node,
				 int64_t now_ms)
{
	gpointer key = NULL;
	gpointer item = NULL;

	if (!g_hash_table_lookup_extended(s->delegates, node, &key, &item)) {
		key = g_strdup(node);
		item = g_new0(struct delegate_seen, 1);
		g_hash_table_insert(s->delegates, key, item);
		s->is_share_stale = TRUE;
	}
	((struct delegate_seen *)item)->heard_ms = now_ms;
	return key;
}

static void take_report(struct scheduler *s,
			const struct renewal_report *report, int64_t now_ms)
{
	for (guint i = 0; i < report->failed->len; i++) {
		struct worker_contact *c =
			scheduler_contact(s, report->failed->pdata[i]);

		if (c && c->is_shared)
			worker_contact_on_delegate_failed(c, now_ms);
	}
	for (guint i = 0; i < report->changes->len; i++) {
		const struct renewal_change *x = &g_array_index(
			report->changes, struct renewal_change, i);
		struct worker_contact *c = scheduler_contact(s, x->worker);

		if (c && c->is_shared && c->digest != x->digest)
			c->is_due = TRUE;
	}
}

static void grant_worker(struct worker_contact *c, struct renewal_grant *grant,
			 int64_t now_ms)
{
	struct renewal_worker w = {
		.worker = g_strdup(c->name),
		.address = g_strdup(c->address),
		.digest = c->digest,
	};
	guint64 mark = g_str_hash(c->name);

	mark = mark << 32 | g_str_hash(c->address);
	mark = util_mix64(util_mix64(mark) ^ (guint64)c->digest);
	grant->version += (int64_t)(mark >> VERSION_SHIFT);
	g_array_append_val(grant->workers, w);
	worker_contact_on_granted(c, grant->life_ms, grant->lease_ms, now_ms);
}

static void fill_grant(struct scheduler *s, const char *node,
		       const struct renewal_report *report, int64_t now_ms,
		       struct renewal_grant *grant)
{
	GHashTableIter iter;
	gpointer item;

	grant->pool = g_strdup(s->pool_name);
	grant->epoch = s->epoch;
	grant->sequence = report->sequence;
	grant->life_ms = RENEWAL_GRANT_MS;
	grant->lease_ms = scheduler_lease_ms(s);
	grant->period_ms =
		worker_renew_period_ms(s->listed_workers, scheduler_peers(s));
	grant->version = 1;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		if (c->delegate == node &&
		    worker_contact_may_be_shared(c, now_ms))
			grant_worker(c, grant, now_ms);
	}
}

gboolean scheduler_on_renewal_report(struct scheduler *s, const char *node,
				     const struct renewal_report *report,
				     int64_t now_ms,
				     struct renewal_grant *grant)
{
	const char *own_name;
	gboolean is_dealt;

	if (!is_sharing(s) || report->epoch != s->epoch ||
	    !g_str_equal(report->pool, s->pool_name))
		return FALSE;
	own_name = hear_delegate(s, node, now_ms);
	take_report(s, report, now_ms);
	is_dealt = s->is_share_stale;
	if (is_dealt)
		deal_shares(s);
	fill_grant(s, own_name, report, now_ms, grant);
	grant->has_workers = is_dealt || grant->version != report->version;
	if (!grant->has_workers)
		renewal_grant_forget_workers(grant);
	scheduler_finish_event(s, now_ms);
	return TRUE;
}
