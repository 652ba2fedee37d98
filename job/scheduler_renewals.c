/*
 * Lease renewals shared with the other schedulers of the failure domain, the
 * delegates. Each second a delegate reports failed and changed workers, and the
 * answer grants it a share of the workers. Each grant is computed from current
 * state, so a lost message only costs time. The holder alone decides and sends
 * commands.
 */
#include "job/scheduler_state.h"

#include "base/util.h"
#include "base/wake_plan.h"

/* Shortens each worker's hash so that a grant's sum of them stays positive. */
#define VERSION_SHIFT 20

struct delegate_state {
	int64_t last_report_ms;
	guint worker_count; /* assigned to it */
};

guint scheduler_peers(const struct scheduler *s)
{
	/* A caretaker has no delegates: it calls all workers itself. */
	return s->phase == SCHEDULER_CARETAKER ? 1 : s->scheduler_count;
}

void scheduler_set_scheduler_count(struct scheduler *s, guint count)
{
	s->scheduler_count = MAX(count, 1);
}

void scheduler_forget_delegates(struct scheduler *s)
{
	g_hash_table_remove_all(s->delegates);
	s->is_share_stale = TRUE;
}

static gboolean is_sharing(const struct scheduler *s)
{
	return s->phase == SCHEDULER_ACTIVE &&
	       (s->always_share_renewals ||
		worker_renewals_are_shared(s->listed_workers,
					   s->scheduler_count));
}

/*
 * Revokes a delegate's share. The workers that it renewed become due for a
 * call, so that the holder renews them before another delegate may.
 */
static void revoke_share(struct scheduler *s, const char *node)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;

		if (c->delegate != node)
			continue;
		c->is_call_due = c->is_call_due || c->is_shared;
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
		const struct delegate_state *d = item;

		if (now_ms < d->last_report_ms + RENEWAL_DELEGATE_TIMEOUT_MS)
			continue;
		revoke_share(s, node);
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
		const struct delegate_state *d = item;

		due_ms = MIN(due_ms,
			     d->last_report_ms + RENEWAL_DELEGATE_TIMEOUT_MS);
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

static struct delegate_state *find_delegate(const struct scheduler *s,
					    const char *node)
{
	return node ? g_hash_table_lookup(s->delegates, node) : NULL;
}

/*
 * Recounts the shares and unassigns workers above an equal share. Returns the
 * number of workers left to this process.
 */
static guint trim_shares(struct scheduler *s, guint share)
{
	GHashTableIter iter;
	gpointer item;
	guint own = 0;

	g_hash_table_iter_init(&iter, s->delegates);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		((struct delegate_state *)item)->worker_count = 0;
	g_hash_table_iter_init(&iter, s->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct worker_contact *c = item;
		struct delegate_state *d = find_delegate(s, c->delegate);

		if (d && (!c->is_listed || d->worker_count >= share))
			c->delegate = NULL;
		else if (d)
			d->worker_count++;
		own += c->is_listed && !c->delegate ? 1 : 0;
	}
	return own;
}

/*
 * Moves workers from shares above an equal one to those below. The others keep
 * their delegate.
 */
static void rebalance_shares(struct scheduler *s)
{
	guint participants = g_hash_table_size(s->delegates) + 1;
	guint share = (count_listed(s) + participants - 1) / participants;
	guint own = trim_shares(s, share);
	GHashTableIter workers;
	GHashTableIter delegates;
	gpointer item;
	gpointer node;

	s->is_share_stale = FALSE;
	g_hash_table_iter_init(&workers, s->workers);
	g_hash_table_iter_init(&delegates, s->delegates);
	while (g_hash_table_iter_next(&delegates, &node, &item)) {
		struct delegate_state *d = item;

		while (own > share && d->worker_count < share &&
		       g_hash_table_iter_next(&workers, NULL, &item)) {
			struct worker_contact *c = item;

			if (!c->is_listed || c->delegate)
				continue;
			c->delegate = node;
			d->worker_count++;
			own--;
		}
	}
}

/*
 * Records a report from a delegate, adding the delegate if it is new. Returns
 * the scheduler's own copy of its name.
 */
static const char *record_delegate(struct scheduler *s, const char *node,
				   int64_t now_ms)
{
	gpointer key = NULL;
	gpointer item = NULL;

	if (!g_hash_table_lookup_extended(s->delegates, node, &key, &item)) {
		key = g_strdup(node);
		item = g_new0(struct delegate_state, 1);
		g_hash_table_insert(s->delegates, key, item);
		s->is_share_stale = TRUE;
	}
	((struct delegate_state *)item)->last_report_ms = now_ms;
	return key;
}

static void apply_report(struct scheduler *s,
			 const struct renewal_report *report, int64_t now_ms)
{
	for (guint i = 0; i < report->failed->len; i++) {
		struct worker_contact *c =
			scheduler_find_contact(s, report->failed->pdata[i]);

		if (c && c->is_shared)
			worker_contact_on_delegate_failed(c, now_ms);
	}
	for (guint i = 0; i < report->changes->len; i++) {
		const struct renewal_change *x = &g_array_index(
			report->changes, struct renewal_change, i);
		struct worker_contact *c = scheduler_find_contact(s, x->worker);

		if (c && c->is_shared && c->digest != x->digest)
			c->is_call_due = TRUE;
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
	guint64 worker_hash = g_str_hash(c->name);

	worker_hash = worker_hash << 32 | g_str_hash(c->address);
	worker_hash = util_mix64(util_mix64(worker_hash) ^ (guint64)c->digest);
	grant->version += (int64_t)(worker_hash >> VERSION_SHIFT);
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
	const char *delegate_name;
	gboolean is_rebalanced;

	if (!is_sharing(s) || report->epoch != s->epoch ||
	    !g_str_equal(report->pool, s->pool_name))
		return FALSE;
	delegate_name = record_delegate(s, node, now_ms);
	apply_report(s, report, now_ms);
	is_rebalanced = s->is_share_stale;
	if (is_rebalanced)
		rebalance_shares(s);
	fill_grant(s, delegate_name, report, now_ms, grant);
	grant->has_workers = is_rebalanced || grant->version != report->version;
	if (!grant->has_workers)
		renewal_grant_clear_workers(grant);
	scheduler_finish_event(s, now_ms);
	return TRUE;
}
