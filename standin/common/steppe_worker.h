/**
 * @file
 * A worker of the stand-in for the Steppe Kite platform: runs tasks under
 * leases, rejects calls below the highest epoch seen, and reports running
 * and ended tasks.
 *
 * The payload of a task may contain "run_ms=N" for its duration, "gang=N" for
 * the size of its gang, and "fail" to make it end as failed. The duration of a
 * gang counts from the start of its last member, and its members end together.
 */
#ifndef STANDIN_COMMON_STEPPE_WORKER_H
#define STANDIN_COMMON_STEPPE_WORKER_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#define STEPPE_WORKER_MILLICORES 64000
#define STEPPE_WORKER_MEMORY_MB 131072
#define STEPPE_WORKER_ACCELERATORS 8

struct steppe_worker;

/**
 * Creates a worker and starts listening.
 *
 * @param listen	"IP:PORT", port 0 for any free port
 * @param peers		all workers, used to find gang members; not owned and
 *			must outlive the worker, the caller adds the worker
 * @param prints_history	print a line for each start, end and
 *			acknowledgement
 * @return		NULL after printing the error on standard error
 */
struct steppe_worker *steppe_worker_new(const char *id, const char *listen,
					GPtrArray *peers,
					gboolean prints_history);

/** Returns "127.0.0.1:PORT" with the listening port; free with g_free(). */
char *steppe_worker_address(const struct steppe_worker *w);

const char *steppe_worker_id(const struct steppe_worker *w);

/** Returns the start of the current incarnation, in ms since the Unix epoch. */
int64_t steppe_worker_incarnation_start_ms(const struct steppe_worker *w);

/** Returns the number of tasks started, over all incarnations. */
int64_t steppe_worker_starts(const struct steppe_worker *w);

/**
 * Ends finished tasks and those with an expired lease, and answers pending
 * /hold requests. Call it regularly.
 */
void steppe_worker_tick(struct steppe_worker *w);

/** Drops all tasks and state, and begins a new incarnation. */
void steppe_worker_crash(struct steppe_worker *w);

#endif
