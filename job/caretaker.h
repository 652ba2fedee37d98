/**
 * @file
 * Supervises a pool that has no holder while the table is unreachable: complete
 * gangs keep running, partial gangs are stopped, reservations are released.
 * Gangs are identified from task names alone, and nothing is started. Performs
 * no I/O and reads no clock.
 */
#ifndef JOB_CARETAKER_H
#define JOB_CARETAKER_H

#include <glib.h>
#include <stdint.h>

#include "job/worker_report.h"

/** How long a gang may be seen with members missing before it is stopped. */
#define CARETAKER_PARTIAL_TIMEOUT_MS INT64_C(4000)

struct caretaker;

/** Called for each task that the worker must stop and release. */
typedef void (*caretaker_fn)(const char *worker, const char *task, void *data);

struct caretaker *caretaker_new(void);
void caretaker_free(struct caretaker *c);

/** Replaces a worker's last report; @tasks holds struct worker_task, copied. */
void caretaker_on_report(struct caretaker *c, const char *worker,
			 const GArray *tasks);

/** Discards the last report of a worker that was lost. */
void caretaker_on_lost(struct caretaker *c, const char *worker);

/** Calls @fn for each task of a gang that has been partial for too long. */
void caretaker_review(struct caretaker *c, int64_t now_ms, caretaker_fn fn,
		      void *data);

#endif
