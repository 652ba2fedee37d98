/**
 * @file
 * A fleet scheduler with simulated workers for tests: it records the orders,
 * and tests answer and report as they like.
 */
#ifndef TESTS_SCHED_WORLD_H
#define TESTS_SCHED_WORLD_H

#include "sched/fleet_scheduler.h"

#define WORLD_SERVICE "salkhi"
/** Orders between two calls of world_clear_orders(). */
#define WORLD_MAX_ORDERS 64
#define WORLD_T0_MS INT64_C(1000000)
#define WORLD_LEASE_MS 10000

struct order {
	gboolean is_start;
	char *worker;
	char *task;
	int64_t run;
};

struct world {
	struct fleet_scheduler s;
	struct fleet_config config;
	struct order orders[WORLD_MAX_ORDERS];
	guint order_count;
	int64_t now_ms;
};

/** Begins an epoch with the routes "urgent" and "bulk" and without workers. */
void world_init(struct world *w);
void world_clear(struct world *w);

/** Forgets the recorded orders. */
void world_clear_orders(struct world *w);

/** Reports the lists of a worker, which are freed; NULL for empty ones. */
void world_report_incarnation(struct world *w, const char *id, int64_t start_ms,
			      GArray *running, GArray *ended);
void world_report(struct world *w, const char *id, GArray *running,
		  GArray *ended);

/** Lists of one entry for world_report(). */
GArray *world_running_list(const char *task, int64_t run);
GArray *world_ended_list(int64_t number, const char *task, int64_t run,
			 enum run_end end);

void world_register_incarnation(struct world *w, const char *id,
				const char *rack, int64_t start_ms);
void world_register_worker(struct world *w, const char *id, const char *rack);

/** Registers a worker of 8 accelerators that has answered. */
void world_add_worker(struct world *w, const char *id, const char *rack);

/** Adds a job of one step that is stored as active. */
struct fleet_job *world_add_job(struct world *w, const char *id,
				const char *route, int64_t tasks,
				int64_t accelerators, gboolean is_gang);

/** Returns a job's only step, to be changed before it is placed. */
struct step_spec *world_step_spec(const struct fleet_job *job);

/** Counts the recorded starts or stops of tasks by the prefix of their names.
 */
guint world_count_orders(const struct world *w, gboolean is_start,
			 const char *task_prefix);

/** Plans after a time. */
void world_plan_after(struct world *w, int64_t ms);

/** Confirms all recorded starts. */
void world_confirm_starts(struct world *w);

#endif
