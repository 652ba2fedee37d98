/**
 * @file
 * One placement round: free capacity of the usable workers, and the waiting
 * units. For the files of the fleet scheduler only.
 */
#ifndef SCHED_FLEET_ROUND_H
#define SCHED_FLEET_ROUND_H

#include "sched/fleet_scheduler.h"

/** A usable worker during one round, with its free capacity. */
struct fleet_round_worker {
	struct fleet_worker *worker;
	struct demand free;		/**< free now */
	struct demand free_after_stops; /**< once the ordered stops are done */
	struct demand reserved;		/**< for waiting gangs */
	struct demand lasting;		/**< of its services, which don't end */
};

/** Workers of one rack: a range of fleet_round::workers. */
struct fleet_rack {
	const char *name;
	guint begin;
	guint end; /**< one past the last */
};

/** The waiting tasks of a step; those of a gang are started together. */
struct fleet_unit {
	struct fleet_step *step;
	GPtrArray *tasks;    /**< of struct fleet_task, not owned */
	const char *service; /**< service of the job's route */
	int64_t priority;
	gboolean is_guaranteed;	 /**< covered by its account's guarantee */
	int64_t latest_start_ms; /**< latest start that meets the objective */
	gboolean is_late;	 /**< the objective can't be met any more */
};

struct fleet_round {
	struct fleet_scheduler *s;
	int64_t now_ms;
	int64_t end_us;		/**< by fleet_ports::clock_us, 0 for no limit */
	GArray *workers;	/**< of struct fleet_round_worker, by rack */
	GArray *racks;		/**< of struct fleet_rack */
	GHashTable *accounts;	/**< see fleet_accounts_new() */
	guint reservations;	/**< racks reserved in this round */
	gboolean uses_reserved; /**< what is reserved may be taken too */
	guint orders_in_flight; /**< starts and stops in flight */
	struct demand total;	/**< capacity of the usable workers */
	struct demand in_use;	/**< of total, with this round's placements */
	/** So little is in use that no capacity is kept for urgent jobs. */
	gboolean is_lightly_used;
	/** Accelerators of placed work that a stop would lose. */
	int64_t unsaved_accelerators;
	/** Number of workers, from the first, that are kept for urgent jobs. */
	guint urgent_worker_count;
};

/** Which free capacity of a worker counts. */
enum free_capacity {
	FREE_NOW,	  /**< fleet_round_worker::free */
	FREE_AFTER_STOPS, /**< fleet_round_worker::free_after_stops */
};

/** Workers chosen for the tasks of a unit. */
struct worker_choice {
	/** For each task the index of its worker in fleet_round::workers. */
	GArray *workers;
	/**
	 * Accelerators that stay free if all workers that could be chosen are
	 * filled with tasks of the unit; the smaller, the tighter the fit.
	 */
	int64_t left;
};

/** Collects the usable workers with their free capacity, and the racks. */
void fleet_round_collect(struct fleet_round *r);

/** Returns the rack with a name, or NULL if it has no usable worker. */
const struct fleet_rack *fleet_round_rack(const struct fleet_round *r,
					  const char *name);

/** Returns the name of a worker's rack, or a placeholder; never NULL. */
const char *fleet_worker_rack(const struct fleet_worker *w);

/** Range of a rack in fleet_round::workers; NULL stands for all workers. */
guint fleet_rack_begin(const struct fleet_rack *rack);
guint fleet_rack_end(const struct fleet_round *r,
		     const struct fleet_rack *rack);

/**
 * Returns how many tasks of the unit a worker may take, given what is available
 * on it, with what is reserved.
 */
guint fleet_round_capacity(const struct fleet_round *r,
			   const struct fleet_unit *u,
			   const struct fleet_round_worker *rw,
			   const struct demand *available);

/**
 * Returns TRUE if a gang, or one task of another unit, would fit into the rack
 * once all tasks there have ended that will end.
 */
gboolean fleet_round_could_hold(const struct fleet_round *r,
				const struct fleet_unit *u,
				const struct fleet_rack *rack);

/**
 * Chooses workers for up to @needed tasks, tightest fit first.
 *
 * @param rack	rack to choose from, NULL for all
 * @return	TRUE if there is capacity for all of them
 */
gboolean fleet_round_choose(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_rack *rack,
			    enum free_capacity kind, guint needed,
			    struct worker_choice *out);

/**
 * Chooses the best of some racks for a whole unit.
 *
 * @param options	of struct fleet_rack; NULL allows several racks at once
 * @return	FALSE if no option fits the whole unit
 */
gboolean fleet_round_choose_whole(const struct fleet_round *r,
				  const struct fleet_unit *u,
				  const GPtrArray *options,
				  enum free_capacity kind,
				  struct worker_choice *out);

/** Subtracts the unit's demand from the free capacity of the chosen workers. */
void fleet_round_allocate(struct fleet_round *r, const struct fleet_unit *u,
			  const struct worker_choice *c);

/**
 * Returns the waiting units, of struct fleet_unit, most urgent first, without
 * those that were tried in this pass. Uses up to a quarter of the round's time.
 */
GPtrArray *fleet_units_collect(struct fleet_round *r);

/**
 * Divides the unit of a step without a gang.
 *
 * @param count		number of tasks that stay in @u
 * @return		a unit with the others
 */
struct fleet_unit *fleet_unit_divide(struct fleet_unit *u, guint count);

/** Returns TRUE if the time of the round is over. */
gboolean fleet_round_is_over(const struct fleet_round *r);

/** Returns TRUE if stopping the unit for an urgent job would lose its work. */
gboolean fleet_unit_loses_work_on_stop(const struct fleet_unit *u);

/** Returns the expected run time of a task of a step. */
int64_t fleet_step_expected_ms(const struct fleet_scheduler *s,
			       const struct fleet_job *job,
			       const struct step_spec *spec);

#endif
