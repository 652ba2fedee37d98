/**
 * @file
 * What a scheduler knows: jobs with their tasks, and workers with what runs on
 * them. Plain state; sched/fleet_scheduler.h decides.
 */
#ifndef SCHED_FLEET_H
#define SCHED_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "sched/job_spec.h"
#include "sched/run_report.h"
#include "sched/run_set.h"

enum fleet_task_state {
	TASK_WAITING,  /**< certainly runs nowhere */
	TASK_STARTING, /**< ordered, not confirmed */
	TASK_RUNNING,
	TASK_STOPPING, /**< may still run */
	TASK_DONE,
};

enum fleet_job_state {
	FLEET_JOB_QUEUED, /**< no task has been started */
	FLEET_JOB_ACTIVE,
	FLEET_JOB_COMPLETED,
	FLEET_JOB_FAILED,
	FLEET_JOB_CANCELLED,
	FLEET_JOB_STATE_COUNT,
};

struct fleet_worker;
struct fleet_step;
struct fleet_job;

struct fleet_task {
	struct fleet_step *step;
	guint index;
	enum fleet_task_state state;
	struct fleet_worker *worker; /**< NULL unless it may run there */
	int64_t run;		     /**< number of the last start */
	struct run_set failed;	  /**< runs of a single task; see fleet_step */
	char *checkpoint;	  /**< latest one, or NULL */
	int64_t ordered_ms;	  /**< when the last order was first sent */
	int64_t confirmed_ms;	  /**< when the worker said that it runs */
	int64_t stop_answered_ms; /**< 0 until a stop was answered */
	int64_t moved_ms;	  /**< when its progress last grew */
	double percent;		  /**< progress that was last told */
	double first_percent;	  /**< that was told first of this run */
	int64_t first_told_ms;	  /**< 0 until then */
	gboolean is_order_out;	  /**< an order is in flight */
	gboolean is_stop_ordered; /**< this run is to end */
	/** An order to start this run had no answer: it may come late. */
	gboolean is_doubtful;
	uint64_t seen_report; /**< the last report that lists it */
	/** Start of the worker's incarnation that listed it, 0 for none. */
	int64_t listed_born_ms;
};

/** One step of one occurrence. */
struct fleet_step {
	struct fleet_job *job;
	guint occurrence;
	guint index;
	const struct step_spec *spec;
	struct fleet_task *tasks;
	guint task_count;
	guint done_count;
	struct run_set gang_failed; /**< runs of the whole gang */
	int64_t ready_ms;	    /**< when it could first be started */
};

struct fleet_job {
	char *id;
	char *route;
	char *account; /**< NULL on public routes */
	struct job_spec spec;
	int64_t accepted_version; /**< of its row: the order of acceptance */
	int64_t accepted_ms;	  /**< on this process's clock, estimated */
	GPtrArray *steps;	  /**< of struct fleet_step, by occurrence */
	guint occurrences;	  /**< that are in steps */
	enum fleet_job_state state;
	gboolean is_cancelled; /**< asked for; its tasks are being stopped */
	gboolean has_started;
	/**
	 * The store says that it is active. Nothing of it is started before
	 * that, so that a successor knows which jobs run nowhere.
	 */
	gboolean is_marked;
	gboolean is_inherited; /**< an earlier epoch may have started it */
	gboolean is_dirty;     /**< progress is not in the store yet */
	gboolean is_marking; /**< the write in flight says that it is active */
	int64_t progress_version; /**< of its row, 0 for none */
	int64_t ended_ms;
};

struct fleet_worker {
	char *id;
	struct worker_registration reg;
	struct demand used;	/**< by all tasks that may run there */
	GPtrArray *tasks;	/**< of struct fleet_task, not owned */
	int64_t drain_until_ms; /**< at least, while it drains */
	gboolean is_gone;	/**< its registration was removed */
	gboolean is_fenced;	/**< it has answered under this epoch */
	gboolean is_recorded;	/**< the store says that it is in use */
	gboolean has_clock;
	int64_t clock_offset_ms;  /**< its clock minus ours */
	int64_t lease_bound_ms;	  /**< nothing runs later without a renewal */
	int64_t contact_ms;	  /**< last answer */
	int64_t listed_ms;	  /**< when its last lists came */
	gboolean has_failed_hold; /**< the renewal after them had no answer */
	int64_t processed_end;	  /**< highest end taken into the state */
	int64_t saved_end;	  /**< highest end whose effect is stored */
	int64_t saving_end;	  /**< becomes saved_end with the write */
	int64_t avoid_until_ms;	  /**< nothing new is placed there */
	guint failures_in_row;	  /**< of runs, without one that was done */
	guint runs_done;
	gboolean is_holding; /**< a renewal is in flight */
	gboolean hold_again; /**< look at once when it returns */
	int64_t next_hold_ms;
	uint64_t reports; /**< taken in */
	/** Runs that it lists and that aren't wanted there; they take room. */
	guint unwanted_runs;
};

struct fleet {
	GHashTable *jobs;    /**< id to struct fleet_job */
	GHashTable *workers; /**< id to struct fleet_worker */
};

void fleet_init(struct fleet *f);
void fleet_clear(struct fleet *f);

struct fleet_job *fleet_job(const struct fleet *f, const char *id);

/** Adds a job and takes over its specification; @spec is zeroed. */
struct fleet_job *fleet_add_job(struct fleet *f, const char *id,
				const char *route, const char *account,
				struct job_spec *spec);

/** Forgets a job of which nothing may run; does nothing without one. */
void fleet_remove_job(struct fleet *f, const char *id);

/** Tells whether any of a job's tasks may run on a worker. */
gboolean fleet_job_may_run(const struct fleet_job *job);

/** Adds the steps of the next occurrence. */
void fleet_job_add_occurrence(struct fleet_job *job);

gboolean fleet_job_has_ended(const struct fleet_job *job);

/** Returns the step of an occurrence, or NULL. */
struct fleet_step *fleet_job_step(const struct fleet_job *job, guint occurrence,
				  guint index);

/** Returns whether all steps that come before are done. */
gboolean fleet_step_is_ready(const struct fleet_step *step);

/** Returns the task of a name such as JOB.0.1.17, or NULL. */
struct fleet_task *fleet_task(const struct fleet *f, const char *name);

/** Returns the name of a task; free it. */
char *fleet_task_name(const struct fleet_task *t);

struct demand fleet_task_demand(const struct fleet_task *t);

/** Puts a task on a worker, whose room it takes from now on. */
void fleet_task_place(struct fleet_task *t, struct fleet_worker *w);

/** Takes a task off its worker; it waits from now on. */
void fleet_task_release(struct fleet_task *t);

void fleet_task_set_checkpoint(struct fleet_task *t, const char *checkpoint);

struct fleet_worker *fleet_worker(const struct fleet *f, const char *id);

/** Returns the worker, added when it is new. */
struct fleet_worker *fleet_add_worker(struct fleet *f, const char *id);

/** Returns what is free, by the worker's registration. */
struct demand fleet_worker_room(const struct fleet_worker *w);

/**
 * Returns the highest end to acknowledge with a call that is sent now. A worker
 * that was started again counts its ends anew: an acknowledgement for its
 * former life would make it forget ends that nobody has seen. So nothing is
 * acknowledged before its lists have come anew when they are old or a renewal
 * has failed since.
 */
int64_t fleet_worker_ack(const struct fleet_worker *w, int64_t now_ms);

gboolean fleet_worker_has_label(const struct fleet_worker *w,
				const char *label);

const char *fleet_job_state_name(enum fleet_job_state state);

/** Returns the state of a name, FLEET_JOB_STATE_COUNT for another text. */
enum fleet_job_state fleet_job_state_of(const char *name);

#endif
