#include "job/worker_health.h"

struct worker_record {
	GHashTable *failed_jobs; /* set of ids since the last success */
	guint failures;		 /* count since the last success */
	/*
	 * 0 if never or cleared. A past time means that the worker is on trial:
	 * the next failure quarantines it again.
	 */
	int64_t quarantined_until_ms;
	gboolean is_single_job; /* quarantined for failures of one job only */
};

struct worker_health {
	GHashTable *workers; /* name to struct worker_record */
	GHashTable *jobs;    /* id to set of workers that it failed on */
};

static void worker_record_free(gpointer data)
{
	struct worker_record *r = data;

	g_hash_table_unref(r->failed_jobs);
	g_free(r);
}

static GHashTable *new_set(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

struct worker_health *worker_health_new(void)
{
	struct worker_health *h = g_new0(struct worker_health, 1);

	h->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   worker_record_free);
	h->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					(GDestroyNotify)g_hash_table_unref);
	return h;
}

void worker_health_free(struct worker_health *h)
{
	g_hash_table_unref(h->workers);
	g_hash_table_unref(h->jobs);
	g_free(h);
}

static struct worker_record *find_or_add_record(struct worker_health *h,
						const char *worker)
{
	struct worker_record *r = g_hash_table_lookup(h->workers, worker);

	if (r)
		return r;
	r = g_new0(struct worker_record, 1);
	r->failed_jobs = new_set();
	g_hash_table_insert(h->workers, g_strdup(worker), r);
	return r;
}

static GHashTable *find_or_add_failed_workers(struct worker_health *h,
					      const char *job_id)
{
	GHashTable *set = g_hash_table_lookup(h->jobs, job_id);

	if (set)
		return set;
	set = new_set();
	g_hash_table_insert(h->jobs, g_strdup(job_id), set);
	return set;
}

static void clear_record(struct worker_record *r)
{
	g_hash_table_remove_all(r->failed_jobs);
	r->failures = 0;
}

/*
 * Attributes the failures to the worker and clears its jobs of them, unless all
 * are of one job: then that job keeps its failure on this worker.
 */
static void blame_worker(struct worker_health *h, struct worker_record *r,
			 const char *worker, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer id;

	r->is_single_job = g_hash_table_size(r->failed_jobs) == 1;
	g_hash_table_iter_init(&iter, r->failed_jobs);
	while (!r->is_single_job && g_hash_table_iter_next(&iter, &id, NULL)) {
		GHashTable *set = g_hash_table_lookup(h->jobs, id);

		if (set)
			g_hash_table_remove(set, worker);
	}
	clear_record(r);
	r->quarantined_until_ms = now_ms + WORKER_HEALTH_QUARANTINE_MS;
}

/* Attributes the failures to the job and clears its workers of them. */
static void blame_job(struct worker_health *h, GHashTable *workers,
		      const char *job_id)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, workers);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		struct worker_record *r = g_hash_table_lookup(h->workers, name);

		if (!r)
			continue;
		if (g_hash_table_remove(r->failed_jobs, job_id) &&
		    r->failures > 0)
			r->failures--;
		if (r->is_single_job)
			r->quarantined_until_ms = 0;
	}
	g_hash_table_remove(h->jobs, job_id);
}

enum health_verdict worker_health_failed(struct worker_health *h,
					 const char *worker, const char *job_id,
					 int64_t now_ms)
{
	struct worker_record *r = find_or_add_record(h, worker);
	GHashTable *workers = find_or_add_failed_workers(h, job_id);
	gboolean is_on_trial = r->quarantined_until_ms > 0;

	g_hash_table_add(workers, g_strdup(worker));
	if (g_hash_table_size(workers) >= WORKER_HEALTH_WORKER_LIMIT) {
		blame_job(h, workers, job_id);
		return HEALTH_JOB_FAILED;
	}
	g_hash_table_add(r->failed_jobs, g_strdup(job_id));
	r->failures++;
	if (!is_on_trial && r->failures < WORKER_HEALTH_FAILURE_LIMIT &&
	    g_hash_table_size(r->failed_jobs) < WORKER_HEALTH_JOB_LIMIT)
		return HEALTH_RETRY;
	blame_worker(h, r, worker, now_ms);
	return HEALTH_WORKER_QUARANTINED;
}

void worker_health_succeeded(struct worker_health *h, const char *worker,
			     const char *job_id)
{
	struct worker_record *r = g_hash_table_lookup(h->workers, worker);

	g_hash_table_remove(h->jobs, job_id);
	if (!r)
		return;
	clear_record(r);
	r->quarantined_until_ms = 0;
	r->is_single_job = FALSE;
}

void worker_health_forget_job(struct worker_health *h, const char *job_id)
{
	g_hash_table_remove(h->jobs, job_id);
}

void worker_health_forget_worker(struct worker_health *h, const char *worker)
{
	g_hash_table_remove(h->workers, worker);
}

gboolean worker_health_is_quarantined(const struct worker_health *h,
				      const char *worker, int64_t now_ms)
{
	const struct worker_record *r = g_hash_table_lookup(h->workers, worker);

	return r && now_ms < r->quarantined_until_ms;
}

char *worker_health_reason(const struct worker_health *h, const char *worker,
			   int64_t now_ms)
{
	const struct worker_record *r = g_hash_table_lookup(h->workers, worker);

	if (!r || now_ms >= r->quarantined_until_ms)
		return g_strdup("not quarantined");
	return g_strdup_printf(
		"quarantined after task failures; on trial again in "
		"%" G_GINT64_FORMAT " s",
		(r->quarantined_until_ms - now_ms) / 1000);
}
