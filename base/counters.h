/**
 * @file
 * Counters, gauges and latency histograms of this process, exported in the
 * Prometheus text format.
 */
#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

#define HISTOGRAM_BUCKETS 14

struct counter {
	char *name;
	char *help;
	gboolean is_gauge;
	int64_t value;
};

struct histogram {
	char *name;
	char *help;
	uint64_t buckets[HISTOGRAM_BUCKETS + 1]; /**< last is unbounded */
	uint64_t count;
	int64_t sum_us;
};

struct counters {
	GPtrArray *counters;   /**< of struct counter */
	GPtrArray *histograms; /**< of struct histogram */
};

void counters_init(struct counters *c);
void counters_clear(struct counters *c);

/** Returns the counter of that name, created on first use. */
struct counter *counters_counter(struct counters *c, const char *name,
				 const char *help);

/** Returns the gauge of that name, created on first use. */
struct counter *counters_gauge(struct counters *c, const char *name,
			       const char *help);

/** Returns the latency histogram of that name, created on first use. */
struct histogram *counters_histogram(struct counters *c, const char *name,
				     const char *help);

void counter_add(struct counter *c, int64_t n);
void counter_set(struct counter *c, int64_t value);
void histogram_record(struct histogram *h, int64_t latency_us);

/** Returns all metrics as text; free it with g_free(). */
char *counters_text(const struct counters *c);

#endif
