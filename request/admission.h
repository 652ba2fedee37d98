/**
 * @file
 * Admission control and queueing of requests in one process: bounded queues
 * per class and client account, rate limits, fair sharing between accounts,
 * early refusal by deadline, and load shedding.
 */
#ifndef REQUEST_ADMISSION_H
#define REQUEST_ADMISSION_H

#include <glib.h>
#include <stdint.h>

#include "request/request.h"

struct admission;
struct admission_account;

/** Queue entry, embedded in the caller's request. */
struct admission_item {
	enum request_class class;
	int64_t arrival_ms;
	int64_t deadline_ms; /**< same clock as arrival_ms */
	int64_t start_ms;    /**< time of the dispatch */
	double cost;	     /**< virtual time charged at dispatch */
	struct admission_account *account;
	GList link; /**< queue link; data is NULL when not queued */
};

struct admission_account_spec {
	const char *name;
	int64_t share;		 /**< weight in fair sharing */
	int64_t requests_per_s;	 /**< in this process, 0 for no limit */
	int64_t queued_requests; /**< limit per class */
};

/** Options; zero is the default of each. */
struct admission_options {
	gboolean has_no_limits; /**< unbounded FIFO, as a bench baseline */
	int64_t max_queued; /**< in all queues together, 0 for the default */
};

struct admission *admission_new(const struct admission_options *options);
void admission_free(struct admission *a);

/** Adds a client account or updates its limits. */
void admission_set_account(struct admission *a,
			   const struct admission_account_spec *spec,
			   int64_t now_ms);

/**
 * Sets the capacity for dispatch.
 *
 * @param slots		this process's share of the slots
 * @param occupancy	fraction of all slots in use by all processes, 0 to 1
 */
void admission_set_capacity(struct admission *a, uint32_t slots,
			    double occupancy);

/**
 * Queues a request, or refuses it.
 *
 * @param shed	set to a less important item that was removed from its queue to
 *		make room; the caller answers it; otherwise NULL
 * @return	REASON_NONE if queued, otherwise the reason of the refusal
 */
enum reason admission_offer(struct admission *a, struct admission_item *item,
			    const char *account, int64_t now_ms,
			    struct admission_item **shed);

/**
 * Removes and returns the next request to dispatch, or NULL if there is none.
 * Requests that can no longer meet their deadline are added to @late; the
 * caller answers them.
 */
struct admission_item *admission_next(struct admission *a, int64_t now_ms,
				      GPtrArray *late);

/** Requeues an item from admission_next() at the head of its queue. */
void admission_requeue(struct admission *a, struct admission_item *item);

/** Removes an item from its queue if it is queued. */
void admission_remove(struct admission *a, struct admission_item *item);

/**
 * Records the end of an item from admission_next().
 *
 * @param run_ms	time at the endpoint, -1 if it did not run
 */
void admission_done(struct admission *a, struct admission_item *item,
		    int64_t run_ms);

/** Moves all queued items that can no longer meet their deadline to @late. */
void admission_expire(struct admission *a, int64_t now_ms, GPtrArray *late);

/**
 * Returns when to check the queues again unless an event comes earlier:
 * @now_ms if anything is queued, otherwise WAKE_NEVER. Queued requests are
 * checked continuously, as the time at which one can no longer meet its
 * deadline depends on the requests that run meanwhile.
 */
int64_t admission_due_ms(const struct admission *a, int64_t now_ms);

/** Returns the number of queued requests. */
uint32_t admission_queued(const struct admission *a);

/** Returns the number of dispatched requests that have not ended. */
uint32_t admission_in_flight(const struct admission *a);

/**
 * Returns the estimated service time at an endpoint, in ms, which most requests
 * of the item's class and account stay below; 0 without samples.
 */
int64_t admission_service_ms(const struct admission_item *item);

#endif
