/**
 * @file
 * A worker of the stand-in for the users' platform: runs tasks under leases,
 * obeys the highest epoch that it has seen, and lists what runs and has ended.
 * How long a task runs stands in its payload, as "run_ms=N", and of how many
 * members its gang is, as "gang=N"; one whose payload holds "fail" ends as
 * failed. A gang works once all members are there, and its members end
 * together.
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
 * Returns a worker that listens, NULL when it can't.
 *
 * @param listen	"IP:PORT", port 0 for any
 * @param peers		the array that all workers are added to; kept
 * @param has_history	prints a line for each start, end and acknowledgement
 */
struct steppe_worker *steppe_worker_new(const char *id, const char *listen,
					GPtrArray *peers, gboolean has_history);

/** Returns "IP:PORT" of where it listens; free it. */
char *steppe_worker_address(const struct steppe_worker *w);

const char *steppe_worker_id(const struct steppe_worker *w);

/** Returns when its present incarnation began, in ms since 1970. */
int64_t steppe_worker_born_ms(const struct steppe_worker *w);

/** Returns how many tasks it has started. */
int64_t steppe_worker_starts(const struct steppe_worker *w);

/** Ends what is over by itself or by its lease, and answers calls that wait. */
void steppe_worker_tick(struct steppe_worker *w);

/** Loses all that it runs and knows, and begins a new incarnation. */
void steppe_worker_crash(struct steppe_worker *w);

#endif
