#include "job/run_time.h"

#include <math.h>

/* Minimum weight of the newest sample in the mean. */
#define NEWEST_WEIGHT 0.2
/* Bound of each ratio, so that one outlier can't dominate the mean. */
#define MAX_FACTOR 1000.0

struct correction {
	double log_factor; /* mean logarithm of observed over declared */
	guint sample_count;
};

struct run_time {
	GHashTable *corrections; /* "ACCOUNT/FAMILY" to struct correction */
};

struct run_time *run_time_new(void)
{
	struct run_time *t = g_new0(struct run_time, 1);

	t->corrections =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

void run_time_free(struct run_time *t)
{
	g_hash_table_unref(t->corrections);
	g_free(t);
}

static char *family_key(const struct pool_job *job)
{
	return g_strdup_printf("%s/%s", job->client_account,
			       job->family ? job->family : "");
}

void run_time_record(struct run_time *t, const struct pool_job *job,
		     int64_t ran_ms)
{
	char *key = family_key(job);
	struct correction *c = g_hash_table_lookup(t->corrections, key);
	double ratio =
		(double)MAX(ran_ms, 1) / (double)MAX(job->expected_run_ms, 1);
	double weight = NEWEST_WEIGHT;

	if (!c) {
		c = g_new0(struct correction, 1);
		g_hash_table_insert(t->corrections, g_strdup(key), c);
	}
	c->sample_count++;
	weight = MAX(weight, 1.0 / c->sample_count);
	ratio = CLAMP(ratio, 1 / MAX_FACTOR, MAX_FACTOR);
	c->log_factor += weight * (log(ratio) - c->log_factor);
	g_free(key);
}

int64_t run_time_expected_ms(const struct run_time *t,
			     const struct pool_job *job)
{
	char *key = family_key(job);
	const struct correction *c = g_hash_table_lookup(t->corrections, key);
	double factor = c ? exp(c->log_factor) : 1;

	g_free(key);
	return MAX((int64_t)((double)job->expected_run_ms * factor), 1);
}
