/**
 * @file
 * Writes what the holder of a pool must not forget: the progress of jobs, the
 * workers in use and the lengths of the queues, in batches. An end is
 * acknowledged to its worker only after its effect is stored.
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
	int64_t status_ms; /**< that an ended job is kept */
	/** Ids of workers that the store says are in use; not owned. */
	GHashTable *in_use;
	void (*on_written)(void *data);
	void *data;
};

struct progress_writer *
progress_writer_new(const struct progress_writer_spec *spec);
void progress_writer_free(struct progress_writer *w);

/** Begins an epoch: writes are made while its term's row is unchanged. */
void progress_writer_begin(struct progress_writer *w, int64_t term_version);

/** Forgets the batch in flight: another epoch begins. */
void progress_writer_reset(struct progress_writer *w);

/** Writes what there is, unless a batch is in flight. */
void progress_writer_write(struct progress_writer *w, int64_t now_ms);

#endif
