/**
 * @file
 * Decides for a pool without a holder, while the table can't be reached: whole
 * gangs go on, gangs in part are stopped, reservations are released. It knows
 * the gangs by the names of their tasks alone and starts nothing. Pure.
 */
#ifndef JOB_CARETAKER_H
#define JOB_CARETAKER_H

#include <glib.h>
#include <stdint.h>

#include "job/worker_report.h"

/** For which a gang may look incomplete before it is stopped. */
#define CARETAKER_PATIENCE_MS INT64_C(4000)

struct caretaker;

/** Called for each task that its worker has to stop and release. */
typedef void (*caretaker_fn)(const char *worker, const char *task, void *data);

struct caretaker *caretaker_new(void);
void caretaker_free(struct caretaker *c);

/** Takes a worker's report in place of its last one. */
void caretaker_on_report(struct caretaker *c, const char *worker,
			 const GArray *tasks);

/** Takes a worker as lost: what it reported no longer counts. */
void caretaker_on_lost(struct caretaker *c, const char *worker);

/** Calls the function for all tasks that must not go on. */
void caretaker_review(struct caretaker *c, int64_t now_ms, caretaker_fn fn,
		      void *data);

#endif
