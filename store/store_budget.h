/**
 * @file
 * The platform's reads or writes that one process may send: a token bucket in
 * which the last tokens are kept for calls of first priority. Pure: no clock.
 */
#ifndef STORE_STORE_BUDGET_H
#define STORE_STORE_BUDGET_H

#include <glib.h>
#include <stdint.h>

enum store_priority {
	STORE_PRIORITY_FIRST, /**< leases and claims */
	STORE_PRIORITY_REST,
	STORE_PRIORITY_COUNT,
};

struct store_budget_config {
	double rate_per_s;
	double burst;	 /**< tokens of a full bucket */
	double reserved; /**< share of the bucket kept for first priority */
};

extern const struct store_budget_config store_budget_writes;
extern const struct store_budget_config store_budget_reads;

struct store_budget {
	const struct store_budget_config *config;
	double tokens;
	double share; /**< of the rate and the burst, permitted now */
	int64_t updated_ms;
};

void store_budget_init(struct store_budget *b,
		       const struct store_budget_config *config,
		       int64_t now_ms);

/** Sets the share of the budget that is permitted, from 0 to 1. */
void store_budget_set_share(struct store_budget *b, double share,
			    int64_t now_ms);

/** Takes a token; FALSE when there is none for this priority. */
gboolean store_budget_take(struct store_budget *b, enum store_priority priority,
			   int64_t now_ms);

/** Returns the priority of a table's rows. */
enum store_priority store_budget_priority(const char *table);

#endif
