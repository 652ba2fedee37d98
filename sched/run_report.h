/**
 * @file
 * Orders of a scheduler and reports of a worker, independent of the platform's
 * wire format.
 */
#ifndef SCHED_RUN_REPORT_H
#define SCHED_RUN_REPORT_H

#include <glib.h>
#include <stdint.h>

/** Resources that a task needs or that a worker has. */
struct demand {
	int64_t millicores;
	int64_t memory_mb;
	int64_t accelerators;
};

static inline gboolean demand_fits(const struct demand *d,
				   const struct demand *available)
{
	return d->millicores <= available->millicores &&
	       d->memory_mb <= available->memory_mb &&
	       d->accelerators <= available->accelerators;
}

static inline void demand_add(struct demand *to, const struct demand *d)
{
	to->millicores += d->millicores;
	to->memory_mb += d->memory_mb;
	to->accelerators += d->accelerators;
}

static inline void demand_subtract(struct demand *from, const struct demand *d)
{
	from->millicores -= d->millicores;
	from->memory_mb -= d->memory_mb;
	from->accelerators -= d->accelerators;
}

/** Registration of a worker. */
struct worker_registration {
	char *service;
	char *address; /**< "IP:PORT" */
	char *failure_domain;
	char *rack;	   /**< NULL if unknown */
	GPtrArray *labels; /**< of char * */
	struct demand capacity;
	gboolean is_draining;
	int64_t drain_left_ms; /**< least time until shutdown, if draining */
	int64_t incarnation_start_ms; /**< start of this incarnation, since
					 1970; or 0 */
};

void worker_registration_clear(struct worker_registration *r);

enum run_end {
	RUN_DONE,
	RUN_FAILED,  /**< by a fault of the task or of the worker */
	RUN_STOPPED, /**< by an order */
	RUN_LEASE_EXPIRED,
	RUN_GANG_BROKEN,     /**< another member of its gang ended */
	RUN_GANG_INCOMPLETE, /**< the rest of its gang didn't start in time */
};

const char *run_end_name(enum run_end end);

/* The strings below are owned by the JSON body that they were decoded from. */

struct running_entry {
	const char *task;
	int64_t run;
	const char *checkpoint; /**< "" for none */
	double percent;
	int64_t load; /**< tail response time in ms, or millicores in use */
};

struct ended_entry {
	int64_t number; /**< ascending from 1 within an incarnation */
	const char *task;
	int64_t run;
	enum run_end end;
	const char *checkpoint; /**< "" for none */
};

struct run_report {
	int64_t clock_ms;	      /**< on the worker's clock */
	int64_t incarnation_start_ms; /**< start of the incarnation, or 0 */
	GArray *running;	      /**< of struct running_entry */
	GArray *ended; /**< of struct ended_entry, unacknowledged */
};

void run_report_clear(struct run_report *r);

struct start_order {
	const char *task;
	int64_t run;
	const char *payload;
	int64_t lease_end_ms; /**< on the worker's clock */
	int64_t epoch;
	const char *checkpoint; /**< NULL or "" to start from the beginning */
	const char *ticket;	/**< from the policy service, or NULL */
};

/** Renewal of all leases on a worker; the response is a run_report. */
struct renewal_order {
	int64_t lease_end_ms; /**< on the worker's clock, 0 to renew nothing */
	int64_t epoch;
	int64_t acked_end; /**< the worker drops ends up to this number */
	int64_t wait_ms;   /**< how long to wait for an end, 0 for none */
};

enum order_refusal {
	REFUSAL_EPOCH,	       /**< the worker has seen a higher epoch */
	REFUSAL_OLD_RUN,       /**< this run or a later one has ended there */
	REFUSAL_LEASE_EXPIRED, /**< the order came after its lease end */
	REFUSAL_NO_RESOURCES,
	REFUSAL_TICKET, /**< the ticket was not accepted */
	REFUSAL_OTHER,
};

const char *order_refusal_name(enum order_refusal refusal);

#endif
