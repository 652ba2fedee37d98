/**
 * @file
 * Rate limit of one process's reads or writes: a token bucket whose last tokens
 * are reserved for high-priority calls. Pure: no clock.
 */
#ifndef STORE_STORE_BUDGET_H
#define STORE_STORE_BUDGET_H

#include <glib.h>
#include <stdint.h>

enum store_priority {
	STORE_PRIORITY_HIGH, /**< leases and claims */
	STORE_PRIORITY_NORMAL,
	STORE_PRIORITY_COUNT,
};

struct store_budget_config {
	double rate_per_s;
	double burst;	       /**< capacity of the bucket, in tokens */
	double reserved_share; /**< share of the bucket for high priority */
};

extern const struct store_budget_config store_budget_writes;
extern const struct store_budget_config store_budget_reads;

struct store_budget {
	const struct store_budget_config *config;
	double tokens;
	double share; /**< permitted share of rate and burst, from 0 to 1 */
	int64_t updated_ms;
};

void store_budget_init(struct store_budget *b,
		       const struct store_budget_config *config,
		       int64_t now_ms);

/** Sets the permitted share of rate and burst, from 0 to 1. */
void store_budget_set_share(struct store_budget *b, double share,
			    int64_t now_ms);

/** Takes a token; returns FALSE if none is available to this priority. */
gboolean store_budget_take(struct store_budget *b, enum store_priority priority,
			   int64_t now_ms);

/** Returns the priority of calls to a table. */
enum store_priority store_budget_priority(const char *table);

#endif
