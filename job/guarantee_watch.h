/**
 * @file
 * Tracks which guarantees of a pool can't be held, since when and why.
 */
#ifndef JOB_GUARANTEE_WATCH_H
#define JOB_GUARANTEE_WATCH_H

#include <glib.h>
#include <stdint.h>

#include "job/pool.h"

struct guarantee_watch;

struct guarantee_watch *guarantee_watch_new(void);
void guarantee_watch_free(struct guarantee_watch *w);

/** Checks the pool; call it after each change of workers or guarantees. */
void guarantee_watch_update(struct guarantee_watch *w, const struct pool *pool,
			    int64_t now_ms);

/**
 * Restarts the times after a change of the guarantees or of the pool's holder:
 * those not known to be unheld count as held since @now_ms.
 */
void guarantee_watch_restart(struct guarantee_watch *w, int64_t now_ms);

/**
 * Finds the state of a guarantee.
 *
 * @param place		its path in the configuration
 * @param since_ms	out: since when it is held or not held, as far as known
 * @return		why it is not held, or NULL while it is; owned by the
 *			watch
 */
const char *guarantee_watch_find(const struct guarantee_watch *w,
				 const char *place, int64_t *since_ms);

/** Calls a function for each guarantee that is not held now. */
void guarantee_watch_foreach_unheld(const struct guarantee_watch *w,
				    void (*fn)(const char *place,
					       const char *problem,
					       int64_t since_ms, void *data),
				    void *data);

/** Returns the number of guarantees that are not held. */
guint guarantee_watch_count_unheld(const struct guarantee_watch *w);

#endif
