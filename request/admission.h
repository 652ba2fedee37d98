/**
 * @file
 * Order and limits of requests in one process: bounded queues for each class
 * and client account, rates, fair shares, early refusal and shedding.
 */
#ifndef REQUEST_ADMISSION_H
#define REQUEST_ADMISSION_H

#include <glib.h>
#include <stdint.h>

#include "request/request.h"

struct admission;
struct admission_account;

/** Embedded in what is queued. */
struct admission_item {
	enum request_class class;
	int64_t arrival_ms;
	int64_t deadline_ms; /**< on the clock of arrival_ms */
	int64_t start_ms;    /**< when it was taken for dispatch */
	double cost;	     /**< charged to the account */
	struct admission_account *account;
	GList link; /**< its place in the queue; data is NULL when not queued */
};

struct admission_account_spec {
	const char *name;
	int64_t share;		 /**< weight between accounts */
	int64_t requests_per_s;	 /**< of this process, 0 for no limit */
	int64_t queued_requests; /**< limit per class */
};

/** Switches for the baselines of the bench. */
struct admission_options {
	gboolean has_no_limits; /**< first come, first served, unbounded */
	int64_t max_queued;	/**< of all accounts and classes */
};

struct admission *admission_new(const struct admission_options *options);
void admission_free(struct admission *a);

/** Adds a client account or updates its limits. */
void admission_set_account(struct admission *a,
			   const struct admission_account_spec *spec,
			   int64_t now_ms);

/**
 * Tells what there is to use.
 *
 * @param slots		that are this process's own
 * @param occupancy	of all slots by all processes, 0 to 1
 */
void admission_set_capacity(struct admission *a, uint32_t slots,
			    double occupancy);

/**
 * Queues a request, or refuses it.
 *
 * @param shed	set to an item of less value that was dropped instead, or NULL
 * @return	REASON_NONE when it is queued
 */
enum reason admission_offer(struct admission *a, struct admission_item *item,
			    const char *account, int64_t now_ms,
			    struct admission_item **shed);

/**
 * Takes the next request for dispatch, or returns NULL. Requests that can no
 * longer finish in time are put in @late instead; answer them.
 */
struct admission_item *admission_next(struct admission *a, int64_t now_ms,
				      GPtrArray *late);

/** Puts back, first in its queue, what admission_next() returned. */
void admission_put_back(struct admission *a, struct admission_item *item);

/** Removes an item that is still queued. */
void admission_remove(struct admission *a, struct admission_item *item);

/** Counts the end of what admission_next() returned. @param run_ms time at
 * the endpoint, -1 when it did not run. */
void admission_done(struct admission *a, struct admission_item *item,
		    int64_t run_ms);

/** Takes all queued items whose deadline can't be met any more. */
void admission_expire(struct admission *a, int64_t now_ms, GPtrArray *late);

/**
 * Returns when to look at the queues again unless an event comes before,
 * WAKE_NEVER while they are empty. What is queued has to be looked at all the
 * time: when it can't finish any more depends on what runs meanwhile.
 */
int64_t admission_due_ms(const struct admission *a, int64_t now_ms);

/** Returns how many are queued. */
uint32_t admission_queued(const struct admission *a);

/** Returns how many are dispatched. */
uint32_t admission_in_flight(const struct admission *a);

/**
 * Returns the time that most requests of the item's class and account take at
 * an endpoint, 0 when that is not known.
 */
int64_t admission_service_ms(const struct admission_item *item);

#endif
