#include "sched/run_times.h"

/* Weight of a new observation; the first 20 have equal weights. */
#define OBSERVATION_WEIGHT 0.05
/* Number of observations from which on the mean replaces the estimates. */
#define MIN_OBSERVATIONS 5

struct run_time_mean {
	double mean_ms;
	guint count;
};

struct run_times {
	GHashTable *means; /* route to struct run_time_mean */
};

struct run_times *run_times_new(void)
{
	struct run_times *t = g_new0(struct run_times, 1);

	t->means =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

void run_times_free(struct run_times *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->means);
	g_free(t);
}

void run_times_observe(struct run_times *t, const char *route,
		       int64_t duration_ms)
{
	struct run_time_mean *m = g_hash_table_lookup(t->means, route);
	double weight;

	if (!m) {
		m = g_new0(struct run_time_mean, 1);
		g_hash_table_insert(t->means, g_strdup(route), m);
	}
	m->count++;
	weight = MAX(1.0 / m->count, OBSERVATION_WEIGHT);
	m->mean_ms += weight * ((double)duration_ms - m->mean_ms);
}

gboolean run_times_is_reliable(const struct run_times *t, const char *route)
{
	const struct run_time_mean *m = g_hash_table_lookup(t->means, route);

	return m && m->count >= MIN_OBSERVATIONS;
}

int64_t run_times_expected_ms(const struct run_times *t, const char *route,
			      int64_t estimate_ms)
{
	const struct run_time_mean *m = g_hash_table_lookup(t->means, route);

	if (!run_times_is_reliable(t, route))
		return estimate_ms;
	return (int64_t)m->mean_ms;
}
