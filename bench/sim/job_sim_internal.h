/**
 * @file
 * Internal interface between the source files of job_sim.
 */
#ifndef BENCH_SIM_JOB_SIM_INTERNAL_H
#define BENCH_SIM_JOB_SIM_INTERNAL_H

#include "bench/sim/job_sim.h"

/**
 * From a decision to the start of the tasks: reserve, commit and start, with
 * two messages of 1.4 ms each way.
 */
#define START_DELAY_MS 60
#define RACK_OUTAGE_MS HOUR_MS
#define SAMPLE_COUNT 400

enum event_kind {
	EVENT_ARRIVE,
	EVENT_STOPPED, /* a preempted job has stopped */
	EVENT_END,
	EVENT_FAIL,
	EVENT_CANCEL_WAVE,
	EVENT_RACK_LOST,
	EVENT_RACK_RECOVERED,
	EVENT_QUARANTINE_END,
	EVENT_SAMPLE,
	EVENT_COUNT,
};

/* A job that waits for another one to stop. */
struct waiter {
	struct sim_job *job;
	guint attempt; /* of @job when it began to wait */
};

struct job_event {
	struct queued_event base; /* time in ms */
	enum event_kind kind;
	struct sim_job *job; /* NULL if it concerns no single job */
	guint attempt;	     /* of @job when the event was scheduled */
	char *worker;
};

void job_sim_schedule(struct job_sim *s, int64_t time_ms, enum event_kind kind,
		      struct sim_job *job);

/* Functions for one job. */

/**
 * Changes the number of active jobs of an account and shape, and returns the
 * number before the change.
 */
gint job_sim_adjust_active(struct job_sim *s, const struct pool_job *j,
			   gint change);
void job_sim_submit(struct job_sim *s, struct sim_job *j);
void job_sim_end_job(struct job_sim *s, struct sim_job *j);

/** Starts those waiters of a stopped job that wait for no other one. */
void job_sim_wake_waiters(struct job_sim *s, struct sim_job *j);

/**
 * Computes the remaining run time of a job that is stopped.
 *
 * @param max_lost_ms	maximum run time that a checkpointable job loses
 * @return		lost accelerator time in ms
 */
int64_t job_sim_save_progress(const struct job_sim *s, struct sim_job *j,
			      int64_t max_lost_ms);

/** Makes and applies scheduling decisions until none is left. */
void job_sim_decide(struct job_sim *s);

/* Event handlers. */

void job_sim_on_arrive(struct job_sim *s, struct job_event *e);
void job_sim_on_stopped(struct job_sim *s, struct job_event *e);
void job_sim_on_end(struct job_sim *s, struct job_event *e);
void job_sim_on_fail(struct job_sim *s, struct job_event *e);
void job_sim_on_cancel_wave(struct job_sim *s, struct job_event *e);
void job_sim_on_rack_lost(struct job_sim *s, struct job_event *e);
void job_sim_on_rack_recovered(struct job_sim *s, struct job_event *e);
void job_sim_on_quarantine_end(struct job_sim *s, struct job_event *e);

/** Samples free and stranded accelerators and checks the guarantee plan. */
void job_sim_sample(struct job_sim *s, struct job_event *e);

#endif
