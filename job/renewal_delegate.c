#include "job/renewal_delegate.h"

#include "job/worker_contact.h"

static void delegated_worker_free(gpointer data)
{
	struct delegated_worker *w = data;

	g_free(w->worker_digest);
	g_free(w->address);
	g_free(w->name);
	g_free(w);
}

struct renewal_delegate *renewal_delegate_new(const char *pool)
{
	struct renewal_delegate *d = g_new0(struct renewal_delegate, 1);

	d->pool = g_strdup(pool);
	d->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   delegated_worker_free);
	return d;
}

void renewal_delegate_free(struct renewal_delegate *d)
{
	g_hash_table_unref(d->workers);
	g_free(d->holder);
	g_free(d->pool);
	g_free(d);
}

void renewal_delegate_reset(struct renewal_delegate *d)
{
	g_clear_pointer(&d->holder, g_free);
	g_hash_table_remove_all(d->workers);
	d->valid_until_ms = 0;
	d->share_version = 0;
}

void renewal_delegate_on_holder(struct renewal_delegate *d, const char *node,
				int64_t epoch)
{
	if (epoch <= d->epoch)
		return;
	renewal_delegate_reset(d);
	d->epoch = epoch;
	d->holder = g_strdup(node);
	d->next_report_ms = 0;
}

static void add_change(GArray *changes, const struct delegated_worker *w)
{
	struct renewal_change change = { g_strdup(w->name),
					 w->reported_digest };

	g_array_append_val(changes, change);
}

static void report_worker(struct renewal_report *r,
			  const struct delegated_worker *w)
{
	if (w->has_failed)
		g_ptr_array_add(r->failed, g_strdup(w->name));
	else if (w->has_reported && w->reported_digest != w->holder_digest)
		add_change(r->changes, w);
}

gboolean renewal_delegate_report(struct renewal_delegate *d, int64_t now_ms,
				 struct renewal_report *report)
{
	GHashTableIter iter;
	gpointer item;

	if (!d->holder || now_ms < d->next_report_ms)
		return FALSE;
	d->sequence++;
	d->sent_ms[d->sequence % RENEWAL_REPORTS_KEPT] = now_ms;
	d->next_report_ms = now_ms + RENEWAL_REPORT_MS;
	report->pool = g_strdup(d->pool);
	report->epoch = d->epoch;
	report->sequence = d->sequence;
	report->version = d->share_version;
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item))
		report_worker(report, item);
	return TRUE;
}

/*
 * Returns the entry of a worker in the new share: the present one, removed from
 * the old share, or a new one.
 */
static struct delegated_worker *update_worker(struct renewal_delegate *d,
					      const struct renewal_worker *from,
					      int64_t next_call_ms)
{
	struct delegated_worker *w =
		g_hash_table_lookup(d->workers, from->worker);

	if (w && g_str_equal(w->address, from->address)) {
		g_hash_table_steal(d->workers, w->name);
	} else {
		w = g_new0(struct delegated_worker, 1);
		w->name = g_strdup(from->worker);
		w->address = g_strdup(from->address);
		w->next_call_ms = next_call_ms;
	}
	/* A report from before the holder's own call is outdated. */
	if (w->holder_digest != from->digest)
		w->has_reported = FALSE;
	w->holder_digest = from->digest;
	return w;
}

/* Replaces the share; spreads the first calls to new workers over time. */
static void replace_workers(struct renewal_delegate *d, const GArray *workers,
			    int64_t now_ms)
{
	GHashTable *share = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  delegated_worker_free);

	for (guint i = 0; i < workers->len; i++) {
		int64_t wait_ms = RENEWAL_SPREAD_MS * i / workers->len;
		struct delegated_worker *w = update_worker(
			d, &g_array_index(workers, struct renewal_worker, i),
			now_ms + wait_ms);

		g_hash_table_replace(share, w->name, w);
	}
	g_hash_table_unref(d->workers);
	d->workers = share;
}

void renewal_delegate_on_grant(struct renewal_delegate *d, const char *from,
			       const struct renewal_grant *g, int64_t now_ms)
{
	int64_t sent_ms = d->sent_ms[g->sequence % RENEWAL_REPORTS_KEPT];
	gboolean is_known = g->sequence <= d->sequence &&
			    g->sequence > d->sequence - RENEWAL_REPORTS_KEPT;
	/* An older share must not get the lifetime of a newer one. */
	gboolean is_next = g->sequence > d->answered_sequence;

	if (!d->holder || !g_str_equal(d->holder, from) ||
	    g->epoch != d->epoch || !is_known || !is_next ||
	    now_ms >= sent_ms + g->life_ms)
		return;
	if (!g->has_workers && g->version != d->share_version)
		return;
	d->answered_sequence = g->sequence;
	d->valid_until_ms = sent_ms + g->life_ms;
	d->lease_ms = g->lease_ms;
	d->period_ms = g->period_ms;
	d->share_version = g->version;
	if (g->has_workers)
		replace_workers(d, g->workers, now_ms);
}

const struct delegated_worker *renewal_delegate_next(struct renewal_delegate *d,
						     int64_t now_ms)
{
	GHashTableIter iter;
	gpointer item;

	if (now_ms >= d->valid_until_ms)
		return NULL;
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct delegated_worker *w = item;

		if (w->is_in_flight || now_ms < w->next_call_ms)
			continue;
		w->is_in_flight = TRUE;
		w->call_id = ++d->last_call_id;
		return w;
	}
	return NULL;
}

int64_t renewal_delegate_due_ms(const struct renewal_delegate *d)
{
	int64_t due_ms = d->holder ? d->next_report_ms : INT64_MAX;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		const struct delegated_worker *w = item;

		if (!w->is_in_flight && w->next_call_ms < d->valid_until_ms)
			due_ms = MIN(due_ms, w->next_call_ms);
	}
	return due_ms;
}

static void delegated_worker_on_report(struct delegated_worker *w,
				       const struct worker_report *report)
{
	w->has_reported = TRUE;
	if (report->is_unchanged)
		return;
	w->reported_digest = worker_report_digest(report);
	g_free(w->worker_digest);
	w->worker_digest = g_strdup(report->digest);
}

void renewal_delegate_on_answer(struct renewal_delegate *d, const char *worker,
				int64_t call_id, enum worker_answer answer,
				const struct worker_report *report,
				int64_t now_ms)
{
	struct delegated_worker *w = g_hash_table_lookup(d->workers, worker);

	if (!w || !w->is_in_flight || w->call_id != call_id)
		return;
	if (answer == WORKER_STALE_EPOCH) {
		renewal_delegate_reset(d);
		return;
	}
	w->is_in_flight = FALSE;
	w->has_failed = answer != WORKER_ANSWERED;
	w->next_call_ms = now_ms + d->period_ms;
	if (!w->has_failed) {
		delegated_worker_on_report(w, report);
		w->next_call_ms = worker_renew_next_ms(w->name, call_id,
						       d->period_ms, now_ms);
	}
	if (w->has_failed || w->reported_digest != w->holder_digest)
		d->next_report_ms = 0;
}
