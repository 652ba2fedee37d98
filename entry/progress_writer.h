/**
 * @file
 * Writes the state that must survive a change of holder to the store, in
 * batches: the progress of jobs, the workers in use and the queue lengths. The
 * end of a run is acknowledged to its worker only after its effect is stored.
 */
#ifndef ENTRY_PROGRESS_WRITER_H
#define ENTRY_PROGRESS_WRITER_H

#include "base/counters.h"
#include "sched/fleet_scheduler.h"
#include "store/platform.h"

struct progress_writer;

struct progress_writer_spec {
	struct platform *platform;
	struct fleet_scheduler *scheduler;
	struct counters *counters;
	int64_t row_bytes;	     /**< largest value of a row in the store */
	int64_t status_retention_ms; /**< how long ended jobs are readable */
	/** Set of worker ids in WORKER_USE_TABLE; updated, not owned. */
	GHashTable *recorded_workers;
	/**
	 * Ids of cancelled jobs that aren't known, and when each was read, as
	 * int64_t of util_monotonic_ms(). Their rows are removed after the time
	 * for which ended jobs are readable. Not owned.
	 */
	GHashTable *pending_cancels;
	/** A batch was answered, with success or not. */
	void (*on_written)(void *data);
	void *data;
};

struct progress_writer *
progress_writer_new(const struct progress_writer_spec *spec);
void progress_writer_free(struct progress_writer *w);

/**
 * Begins an epoch.
 *
 * @param term_version	version of the epoch's term row; each write succeeds
 *			only while the row still has it
 */
void progress_writer_begin(struct progress_writer *w, int64_t term_version);

/** Ignores the outcome of the batch in flight, at the end of an epoch. */
void progress_writer_reset(struct progress_writer *w);

/**
 * Writes one batch of unsaved changes. Does nothing while a batch is in flight
 * or during the retry delay of a failed one.
 */
void progress_writer_write(struct progress_writer *w, int64_t now_ms);

#endif
