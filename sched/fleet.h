/**
 * @file
 * State of the fleet scheduler: jobs with their steps and tasks, and workers
 * with the tasks placed on them. The decisions are in sched/fleet_scheduler.h.
 */
#ifndef SCHED_FLEET_H
#define SCHED_FLEET_H

#include <glib.h>
#include <stdint.h>

#include "sched/job_spec.h"
#include "sched/run_report.h"
#include "sched/run_set.h"

enum fleet_task_state {
	TASK_WAITING,  /**< certainly runs on no worker */
	TASK_STARTING, /**< start ordered, not confirmed */
	TASK_RUNNING,
	TASK_STOPPING, /**< stop ordered; it may still run */
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
	struct fleet_worker *worker; /**< where it may run, or NULL */
	int64_t run;		     /**< run number of the last start */
	struct run_set failed; /**< failed runs; a gang's are in the step */
	char *checkpoint;      /**< latest checkpoint, or NULL */
	int64_t ordered_ms;    /**< when the run was ordered or adopted */
	int64_t confirmed_ms;  /**< when the worker confirmed the run, or 0 */
	int64_t stop_answered_ms;    /**< when the stop was answered, or 0 */
	int64_t last_progress_ms;    /**< when the progress last grew */
	double percent;		     /**< last reported progress, 0 to 100 */
	double first_percent;	     /**< first progress reported by this run */
	int64_t first_progress_ms;   /**< when it was reported, or 0 */
	gboolean is_order_in_flight; /**< a start or stop is in flight */
	gboolean is_stop_ordered;    /**< the run is being stopped */
	/** A start order for this run got no answer; it may still arrive. */
	gboolean has_unanswered_start;
	/** Value of report_count at the last report that listed it. */
	uint64_t listed_report;
	/** Start time of the worker incarnation that listed it, or 0. */
	int64_t listed_born_ms;
};

/** A step of one occurrence of a job. */
struct fleet_step {
	struct fleet_job *job;
	guint occurrence;
	guint index;
	const struct step_spec *spec;
	struct fleet_task *tasks;
	guint task_count;
	guint done_count;
	struct run_set gang_failed; /**< failed runs of the gang */
	int64_t ready_ms;	    /**< when its dependencies were first met */
	int64_t reserved_since_ms;  /**< when it first had a rack, or 0 */
	int64_t reserve_after_ms;   /**< it gets no rack before that */
	/** Value of fleet_scheduler::pass when it last found no workers. */
	uint64_t tried_pass;
};

struct fleet_job {
	char *id;
	char *route;
	char *account; /**< NULL on public routes */
	struct job_spec spec;
	int64_t accepted_version; /**< row version, in acceptance order */
	int64_t accepted_ms;	  /**< estimated time on the local clock */
	/** Of struct fleet_step, ordered by occurrence; see first_occurrence.
	 */
	GPtrArray *steps;
	guint first_occurrence; /**< earlier ones are done and not in steps */
	guint occurrences; /**< opened so far: one past the last in steps */
	/**
	 * first_occurrence in the stored row. Occurrences are opened by this
	 * one, so that the next holder knows all that may run.
	 */
	guint stored_first;
	/** For each step the fleet_scheduler::round that last found no workers
	 * for it. */
	uint64_t *unplaced_rounds;
	guint storing_first; /**< the same in the write in flight */
	enum fleet_job_state state;
	gboolean is_cancelled; /**< cancelled; its tasks are being stopped */
	gboolean has_started;  /**< a run of a task was started or adopted */
	/**
	 * The store records the job as active. No task is started before that,
	 * so that the next holder knows which jobs cannot have running tasks.
	 */
	gboolean is_active_stored;
	gboolean is_inherited; /**< an earlier epoch may have started tasks */
	gboolean is_dirty;     /**< progress is not stored yet */
	gboolean is_storing_active; /**< the write in flight records it as
				       active */
	/** What the last progress row lacked, of enum progress_cut. */
	uint8_t row_cut;
	int64_t progress_version; /**< version of the progress row, or 0 */
	int64_t ended_ms;	  /**< when it reached a final state */
};

struct fleet_worker {
	char *id;
	struct worker_registration reg;
	struct demand used;	  /**< sum over all its tasks */
	GPtrArray *tasks;	  /**< tasks that may run there, not owned */
	int64_t drain_until_ms;	  /**< earliest shutdown while it drains */
	gboolean is_deregistered; /**< the registration was removed */
	/** Has answered in this epoch, so refuses orders of earlier ones. */
	gboolean is_fenced;
	gboolean is_use_stored;		/**< the store records it as in use */
	gboolean is_clock_offset_known; /**< clock_offset_ms is known */
	int64_t clock_offset_ms;	/**< worker clock minus local clock */
	int64_t lease_bound_ms; /**< no run outlives it without a renewal */
	int64_t contact_ms;	/**< when it last answered */
	int64_t last_report_ms; /**< when its last report arrived */
	gboolean has_failed_renewal; /**< a renewal since that report failed */
	int64_t processed_end;	     /**< number of the last run end applied */
	int64_t saved_end;	     /**< last run end whose effect is stored */
	int64_t saving_end;	     /**< saved_end after the write in flight */
	int64_t avoid_until_ms;	     /**< no new task is placed before that */
	guint failures_in_row; /**< failed runs since the last completed one */
	guint runs_done;       /**< runs completed by this incarnation */
	gboolean is_renewing;  /**< a renewal is in flight */
	gboolean renew_again;  /**< renew again without waiting for changes */
	int64_t next_renewal_ms; /**< earliest time of the next renewal */
	uint64_t report_count;	 /**< number of reports applied */
	/** Listed runs that should not run there but still use its capacity. */
	guint unwanted_runs;
};

struct fleet {
	GHashTable *jobs;    /**< id to struct fleet_job */
	GHashTable *workers; /**< id to struct fleet_worker */
};

void fleet_init(struct fleet *f);
void fleet_clear(struct fleet *f);

struct fleet_job *fleet_job(const struct fleet *f, const char *id);

/** Adds a job. Takes ownership of the contents of @spec, which is zeroed. */
struct fleet_job *fleet_add_job(struct fleet *f, const char *id,
				const char *route, const char *account,
				struct job_spec *spec);

/** Removes a job, if known. None of its tasks may be on a worker. */
void fleet_remove_job(struct fleet *f, const char *id);

/** Returns TRUE if any task of a job may run on a worker. */
gboolean fleet_job_may_run(const struct fleet_job *job);

/** Adds the steps of a job's next occurrence. */
void fleet_job_add_occurrence(struct fleet_job *job);

/** Returns TRUE if a repeated job may open one more occurrence. */
gboolean fleet_job_may_open(const struct fleet_job *job);

/** Drops the leading occurrences that are done and run nowhere any more. */
void fleet_job_drop_done(struct fleet_job *job);

/** Marks all occurrences before @first as done. */
void fleet_job_skip_to(struct fleet_job *job, guint first);

gboolean fleet_job_has_ended(const struct fleet_job *job);

/** Returns a step of an open occurrence, or NULL if either is out of range. */
struct fleet_step *fleet_job_step(const struct fleet_job *job, guint occurrence,
				  guint index);

/** Returns TRUE if all steps that this one depends on are done. */
gboolean fleet_step_is_ready(const struct fleet_step *step);

/** Returns a task by its name, JOB.OCCURRENCE.STEP.INDEX, or NULL. */
struct fleet_task *fleet_task(const struct fleet *f, const char *name);

/** Returns the name of a task; the caller frees it. */
char *fleet_task_name(const struct fleet_task *t);

/** Returns the resources that a task takes on its worker. */
struct demand fleet_task_demand(const struct fleet_task *t);

/** Places a task on a worker and reserves its demand there. */
void fleet_task_place(struct fleet_task *t, struct fleet_worker *w);

/** Sets a task to done. */
void fleet_task_mark_done(struct fleet_task *t);

/** Removes a task from its worker; unless done, it waits again. */
void fleet_task_release(struct fleet_task *t);

/** Copies the checkpoint; NULL and "" leave the current one. */
void fleet_task_set_checkpoint(struct fleet_task *t, const char *checkpoint);

struct fleet_worker *fleet_worker(const struct fleet *f, const char *id);

/** Returns the worker of an id, creating it if needed. */
struct fleet_worker *fleet_add_worker(struct fleet *f, const char *id);

/** Returns the registered capacity minus the demand of the placed tasks. */
struct demand fleet_worker_free_capacity(const struct fleet_worker *w);

/**
 * Returns the highest run end to acknowledge with a call that is sent now. A
 * restarted worker numbers its run ends from the start again, and an
 * acknowledgement meant for the previous incarnation would make it drop ends
 * that were never reported. So 0 is returned if the last report is old or a
 * renewal has failed since; the next report shows the incarnation.
 */
int64_t fleet_worker_end_to_ack(const struct fleet_worker *w, int64_t now_ms);

/**
 * Returns how long the acknowledgement that fleet_worker_end_to_ack() returns
 * may take until it is sent: after that the worker may have restarted.
 */
int64_t fleet_worker_ack_valid_ms(const struct fleet_worker *w, int64_t now_ms);

gboolean fleet_worker_has_label(const struct fleet_worker *w,
				const char *label);

const char *fleet_job_state_name(enum fleet_job_state state);

/** Returns the state with a name, or FLEET_JOB_STATE_COUNT if unknown. */
enum fleet_job_state fleet_job_state_from_name(const char *name);

#endif
