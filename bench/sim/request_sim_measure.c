/* Computes the figures of a scenario. */
#include <gsl/gsl_statistics_double.h>

#include "bench/sim/request_sim_internal.h"

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile(const GArray *sorted, double q)
{
	if (sorted->len == 0)
		return 0;
	return gsl_stats_quantile_from_sorted_data((const double *)sorted->data,
						   1, sorted->len, q);
}

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static void measure_accounts(const struct request_sim *m,
			     struct request_outcome *o)
{
	double sum = 0;
	double squares = 0;

	o->min_account_in_time = 1;
	for (guint i = 0; i < ACCOUNTS; i++) {
		double in_time_share = ratio((double)m->account_in_time[i],
					     (double)m->account_offered[i]);

		sum += in_time_share;
		squares += in_time_share * in_time_share;
		if (i > 0)
			o->min_account_in_time =
				MIN(o->min_account_in_time, in_time_share);
	}
	o->jain_index = ratio(sum * sum, ACCOUNTS * squares);
}

/*
 * Returns the seconds from the end of the burst until the mean goodput of three
 * seconds is at least 95% of the mean between the warm-up and the burst.
 */
static int64_t measure_recovery(const struct request_sim *m)
{
	const struct scenario *s = m->scenario;
	double before_us = 0;

	if (s->burst_to_s == 0)
		return -1;
	for (int64_t i = 5; i < s->burst_from_s; i++)
		before_us += m->run_us_by_second[i];
	before_us /= (double)(s->burst_from_s - 5);
	for (int64_t i = s->burst_to_s; i + 3 <= s->length_s; i++) {
		double mean_us =
			(m->run_us_by_second[i] + m->run_us_by_second[i + 1] +
			 m->run_us_by_second[i + 2]) /
			3;

		if (mean_us >= 0.95 * before_us)
			return i - s->burst_to_s;
	}
	return s->length_s - s->burst_to_s;
}

void request_sim_measure(const struct request_sim *m, struct request_outcome *o)
{
	const struct scenario *s = m->scenario;
	double seconds = (double)s->length_s - (double)WARM_UP_US / US_PER_S;
	double slot_us = seconds * US_PER_S * s->runners * ENDPOINT_SLOTS;
	double offered =
		(double)(m->offered[REQUEST_SPOT] + m->offered[REQUEST_BULK]);
	uint64_t inspections = 0;

	g_array_sort(m->spot_latencies_ms, compare_doubles);
	*o = (struct request_outcome){ 0 };
	o->spot_p50_ms = quantile(m->spot_latencies_ms, 0.5);
	o->spot_p99_ms = quantile(m->spot_latencies_ms, 0.99);
	o->spot_p999_ms = quantile(m->spot_latencies_ms, 0.999);
	o->spot_in_time = ratio((double)m->in_time[REQUEST_SPOT],
				(double)m->offered[REQUEST_SPOT]);
	o->bulk_done = ratio((double)m->in_time[REQUEST_BULK],
			     (double)m->offered[REQUEST_BULK]);
	o->goodput = m->in_time_run_us / slot_us;
	o->bulk_goodput = m->bulk_in_time_run_us / slot_us;
	o->refused = ratio((double)m->refused, (double)m->started);
	o->unknown = ratio((double)m->unknown, offered);
	o->retried = ratio((double)m->resends, (double)(m->sends - m->resends));
	o->busy = ratio((double)m->busy, (double)m->sends);
	o->duplicate_runs = m->duplicate_runs;
	o->unanswered = m->started - m->answered;
	o->max_connections = m->max_connections;
	o->recovery_s = measure_recovery(m);
	measure_accounts(m, o);
	for (guint i = 0; i < s->gateways; i++)
		inspections += m->gateways[i].table->inspections;
	o->inspections = ratio((double)inspections, (double)m->choices);
}
