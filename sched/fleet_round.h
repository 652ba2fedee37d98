/**
 * @file
 * One round of placement: what the usable workers have left, and the units that
 * wait. For the files of the fleet scheduler only.
 */
#ifndef SCHED_FLEET_ROUND_H
#define SCHED_FLEET_ROUND_H

#include "sched/fleet_scheduler.h"

/** What a worker has left within one round. */
struct fleet_room {
	struct fleet_worker *worker;
	struct demand free; /**< now */
	struct demand soon; /**< and what is being stopped */
	gboolean is_taken;  /**< kept for a unit that waits */
};

/** Workers of one rack: a span of the rooms, which are sorted by rack. */
struct fleet_rack {
	const char *name;
	guint begin;
	guint end; /**< one past the last */
};

/** Tasks that are placed together: a gang, or all that wait of a step. */
struct fleet_unit {
	struct fleet_step *step;
	GPtrArray *tasks;    /**< of struct fleet_task, all waiting */
	const char *service; /**< of its route */
	int64_t priority;
	gboolean is_guaranteed;	 /**< within its account's guarantee */
	int64_t latest_start_ms; /**< to end within the objective */
	gboolean is_late;	 /**< it can't end within it any more */
};

struct fleet_round {
	struct fleet_scheduler *s;
	int64_t now_ms;
	GArray *rooms; /**< of struct fleet_room */
	GArray *racks; /**< of struct fleet_rack */
	guint reservations;
	guint orders_out;      /**< orders in flight */
	struct demand total;   /**< capacity of the usable workers */
	struct demand in_use;  /**< of it, with what this round has given */
	gboolean is_calm;      /**< little is in use: nothing is kept */
	int64_t unsaved;       /**< accelerators of unsaved work */
	guint first_open_room; /**< from it on unsaved work is placed */
};

enum room_kind {
	ROOM_NOW,
	ROOM_SOON,
};

struct room_choice {
	GArray *workers; /**< indexes into rooms, one a task */
	int64_t left;	 /**< accelerators left free where it is placed */
};

/** Collects the rooms of all usable workers, and their racks. */
void fleet_round_collect(struct fleet_round *r);

/** Returns the rack of a name, NULL when no usable worker is there. */
const struct fleet_rack *fleet_round_rack(const struct fleet_round *r,
					  const char *name);

/** Returns the name of a worker's rack, never NULL. */
const char *fleet_rack_of(const struct fleet_worker *w);

/** Bounds of the rooms of a rack; without one all rooms are meant. */
guint fleet_rack_begin(const struct fleet_rack *rack);
guint fleet_rack_end(const struct fleet_round *r,
		     const struct fleet_rack *rack);

/** Returns how many tasks of the unit a worker may take, by a room. */
guint fleet_round_capacity(const struct fleet_round *r,
			   const struct fleet_unit *u,
			   const struct fleet_room *room,
			   const struct demand *by);

/** Tells whether a rack could hold the unit if it were empty. */
gboolean fleet_round_could_hold(const struct fleet_round *r,
				const struct fleet_unit *u,
				const struct fleet_rack *rack);

/**
 * Chooses workers of one rack, or of all, fullest first.
 *
 * @return	whether all tasks found one
 */
gboolean fleet_round_choose(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_rack *rack, enum room_kind kind,
			    guint needed, struct room_choice *out);

/**
 * Chooses the best of some racks; NULL among them stands for any mixture.
 *
 * @return	FALSE when none holds the whole unit
 */
gboolean fleet_round_choose_whole(const struct fleet_round *r,
				  const struct fleet_unit *u,
				  const GPtrArray *options, enum room_kind kind,
				  struct room_choice *out);

/** Takes the room of what was chosen. */
void fleet_round_take(struct fleet_round *r, const struct fleet_unit *u,
		      const struct room_choice *c);

/** Returns the units that wait, of struct fleet_unit, most urgent first. */
GPtrArray *fleet_units_collect(const struct fleet_round *r);

/** Tells whether a stop for an urgent job would throw away the unit's work. */
gboolean fleet_unit_is_unsaved(const struct fleet_unit *u);

/** Returns the time that a task of a step is expected to run. */
int64_t fleet_step_ms(const struct fleet_scheduler *s,
		      const struct fleet_job *job,
		      const struct step_spec *spec);

#endif
