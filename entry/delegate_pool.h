/**
 * @file
 * The holder's connections to the delegates; selects the VM that makes a call
 * to a worker. A delegated call ends like a direct one: with an answer, with
 * STATUS_UNAVAILABLE when nothing was sent to the worker, or with
 * STATUS_UNKNOWN when it may have taken effect.
 */
#ifndef ENTRY_DELEGATE_POOL_H
#define ENTRY_DELEGATE_POOL_H

#include "base/http_client.h"
#include "store/platform.h"

struct delegate_pool;

struct delegate_pool_spec {
	struct platform *platform;
	const char *node; /**< name of this VM, never used as a delegate */
	/** More workers may be called: see delegate_pool_may_call(). */
	void (*on_ready)(void *data);
	void *data;
};

/**
 * Returns a new pool without connections. It starts reading the table of
 * delegates with the first call of one of the functions below.
 */
struct delegate_pool *delegate_pool_new(const struct delegate_pool_spec *spec);
void delegate_pool_free(struct delegate_pool *p);

/**
 * Ends all calls in flight with STATUS_UNKNOWN, closes all connections and
 * stops reading the table of delegates until the next call.
 */
void delegate_pool_reset(struct delegate_pool *p);

/**
 * Starts to read the table of delegates and to connect to all of them; does
 * nothing if that has begun.
 */
void delegate_pool_start(struct delegate_pool *p);

/**
 * Starts the pool. Returns FALSE while a worker should not be called yet: the
 * table of delegates has not been read, or the worker's delegate is still being
 * connected. Calls would have to be made directly, which takes a new holder of
 * a large pool seconds. The wait is bounded.
 */
gboolean delegate_pool_may_call(struct delegate_pool *p, const char *worker,
				const char *failure_domain, int64_t now_ms);

/**
 * Makes a call to a worker through a delegate in the worker's failure domain.
 *
 * @param spec	must set may_reuse; its callback runs exactly once, never from
 *		within this function
 * @return	FALSE if no delegate can take the call: nothing was sent, and
 *		the callback does not run
 */
gboolean delegate_pool_send(struct delegate_pool *p, const char *worker,
			    const char *failure_domain,
			    const struct http_call_spec *spec);

#endif
