/**
 * @file
 * What the parts of job_sim know of each other.
 */
#ifndef BENCH_SIM_JOB_SIM_PARTS_H
#define BENCH_SIM_JOB_SIM_PARTS_H

#include "bench/sim/job_sim.h"

/** Reserve, commit and start, with two messages of 1.4 ms each way. */
#define START_DELAY_MS 60
#define RACK_LOSS_MS HOUR_MS
#define SAMPLES 400

enum event_kind {
	EVENT_ARRIVE,
	EVENT_STOPPED, /* of a preempted job */
	EVENT_END,
	EVENT_FAIL,
	EVENT_CANCEL_WAVE,
	EVENT_RACK_LOST,
	EVENT_RACK_BACK,
	EVENT_ASIDE_OVER,
	EVENT_SAMPLE,
	EVENT_COUNT,
};

struct waiter {
	struct sim_job *job;
	guint attempt;
};

struct job_event {
	struct queued_event base; /* time in ms */
	enum event_kind kind;
	struct sim_job *job;
	guint attempt;
	char *worker;
};

void job_sim_schedule(struct job_sim *s, int64_t time_ms, enum event_kind kind,
		      struct sim_job *job);

/* One job. */

/** Changes the count of an account's jobs of a shape; returns it before. */
gint job_sim_count_active(struct job_sim *s, const struct pool_job *j,
			  gint change);
void job_sim_submit(struct job_sim *s, struct sim_job *j);
void job_sim_end_job(struct job_sim *s, struct sim_job *j);

/** Wakes the jobs that waited for this one to stop. */
void job_sim_wake_waiters(struct job_sim *s, struct sim_job *j);

/** Keeps what a checkpoint saved; returns what is lost. */
int64_t job_sim_keep_progress(const struct job_sim *s, struct sim_job *j,
			      int64_t most_lost_ms);

/** Takes all decisions that can be taken now. */
void job_sim_decide(struct job_sim *s);

/* Events. */

void job_sim_on_arrive(struct job_sim *s, struct job_event *e);
void job_sim_on_stopped(struct job_sim *s, struct job_event *e);
void job_sim_on_end(struct job_sim *s, struct job_event *e);
void job_sim_on_fail(struct job_sim *s, struct job_event *e);
void job_sim_on_cancel_wave(struct job_sim *s, struct job_event *e);
void job_sim_on_rack_lost(struct job_sim *s, struct job_event *e);
void job_sim_on_rack_back(struct job_sim *s, struct job_event *e);
void job_sim_on_aside_over(struct job_sim *s, struct job_event *e);

/** Samples free and stranded accelerators and checks the plan. */
void job_sim_sample(struct job_sim *s, struct job_event *e);

#endif
