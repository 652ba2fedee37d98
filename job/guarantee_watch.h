/**
 * @file
 * Keeps since when each guarantee of a pool can't be held, and why.
 */
#ifndef JOB_GUARANTEE_WATCH_H
#define JOB_GUARANTEE_WATCH_H

#include <glib.h>
#include <stdint.h>

#include "job/pool.h"

struct guarantee_watch;

struct guarantee_watch *guarantee_watch_new(void);
void guarantee_watch_free(struct guarantee_watch *w);

/** Looks at the pool; call after each change of workers or guarantees. */
void guarantee_watch_update(struct guarantee_watch *w, const struct pool *pool,
			    int64_t now_ms);

/** Notes other guarantees, or a new holder: the others are held from now. */
void guarantee_watch_restart(struct guarantee_watch *w, int64_t now_ms);

/**
 * Looks a guarantee up.
 *
 * @param since_ms	out: since when it is held or not, as far as known
 * @return		why it is not held, NULL while it is
 */
const char *guarantee_watch_find(const struct guarantee_watch *w,
				 const char *place, int64_t *since_ms);

/** Calls a function for each guarantee that is not held now. */
void guarantee_watch_foreach(const struct guarantee_watch *w,
			     void (*fn)(const char *place, const char *problem,
					int64_t since_ms, void *data),
			     void *data);

/** Returns the number of guarantees that are not held. */
guint guarantee_watch_count(const struct guarantee_watch *w);

#endif
