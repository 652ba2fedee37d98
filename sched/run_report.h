/**
 * @file
 * What passes between a scheduler and a worker, in the project's own types.
 */
#ifndef SCHED_RUN_REPORT_H
#define SCHED_RUN_REPORT_H

#include <glib.h>
#include <stdint.h>

/** What a task needs, or a worker has. */
struct demand {
	int64_t millicores;
	int64_t memory_mb;
	int64_t accelerators;
};

static inline gboolean demand_fits(const struct demand *d,
				   const struct demand *room)
{
	return d->millicores <= room->millicores &&
	       d->memory_mb <= room->memory_mb &&
	       d->accelerators <= room->accelerators;
}

static inline void demand_add(struct demand *to, const struct demand *d)
{
	to->millicores += d->millicores;
	to->memory_mb += d->memory_mb;
	to->accelerators += d->accelerators;
}

static inline void demand_take(struct demand *from, const struct demand *d)
{
	from->millicores -= d->millicores;
	from->memory_mb -= d->memory_mb;
	from->accelerators -= d->accelerators;
}

/** What a worker has registered of itself. */
struct worker_registration {
	char *service;
	char *address; /**< "IP:PORT" */
	char *failure_domain;
	char *rack;	   /**< NULL when it has none */
	GPtrArray *labels; /**< of char * */
	struct demand capacity;
	gboolean is_draining;
	int64_t drain_left_ms; /**< at least, while it drains */
	int64_t born_ms; /**< start of this incarnation, since 1970; or 0 */
};

void worker_registration_clear(struct worker_registration *r);

enum run_end {
	RUN_DONE,
	RUN_FAILED,  /**< by its own fault or the worker's */
	RUN_STOPPED, /**< on an order */
	RUN_LAPSED,  /**< its lease ran out */
	RUN_BROKEN,  /**< another member of its gang ended */
	RUN_ALONE,   /**< the other members didn't come in time */
};

const char *run_end_name(enum run_end end);

/* The texts below belong to the answer that they were decoded from. */

struct running_entry {
	const char *task;
	int64_t run;
	const char *checkpoint; /**< "" for none */
	double percent;
	int64_t load; /**< thousandths of a core in use */
};

struct ended_entry {
	int64_t number; /**< rises within an incarnation, from 1 */
	const char *task;
	int64_t run;
	enum run_end end;
	const char *checkpoint; /**< "" for none */
};

struct run_report {
	int64_t clock_ms; /**< the worker's own */
	int64_t born_ms;  /**< start of the incarnation, or 0 */
	GArray *running;  /**< of struct running_entry */
	GArray *ended;	  /**< of struct ended_entry, not acknowledged yet */
};

void run_report_clear(struct run_report *r);

struct start_order {
	const char *task;
	int64_t run;
	const char *payload;
	int64_t lease_end_ms; /**< on the worker's clock */
	int64_t epoch;
	const char *checkpoint; /**< NULL or "" to start afresh */
	const char *ticket;	/**< of the advice service, or NULL */
};

struct hold_order {
	int64_t lease_end_ms; /**< on the worker's clock, 0 to renew nothing */
	int64_t epoch;
	int64_t acked_end; /**< the worker forgets ends up to this one */
	int64_t wait_ms;   /**< for an end, 0 for an answer at once */
};

enum order_refusal {
	REFUSAL_EPOCH,	 /**< the worker has seen a higher epoch */
	REFUSAL_OLD_RUN, /**< this run, or a later one, has ended there */
	REFUSAL_LATE,	 /**< the lease of the order has run out */
	REFUSAL_ROOM,
	REFUSAL_TICKET,
	REFUSAL_OTHER,
};

const char *order_refusal_name(enum order_refusal refusal);

#endif
