/**
 * @file
 * The holder's connections to the delegates: picks the VM that makes a call to
 * a worker. A call over a delegate ends like any other: with an answer, or with
 * STATUS_UNKNOWN when it may have had its effect.
 */
#ifndef ENTRY_DELEGATE_POOL_H
#define ENTRY_DELEGATE_POOL_H

#include "base/http_client.h"
#include "store/platform.h"

struct delegate_pool;

struct delegate_pool_spec {
	struct platform *platform;
	const char *node; /**< own VM, which is no delegate for itself */
};

/** Registrations are followed from the first call on. */
struct delegate_pool *delegate_pool_new(const struct delegate_pool_spec *spec);
void delegate_pool_free(struct delegate_pool *p);

/**
 * Ends all calls with STATUS_UNKNOWN and all connections, and follows
 * registrations no longer until the next call.
 */
void delegate_pool_reset(struct delegate_pool *p);

/**
 * Makes a call through a delegate of a worker's failure domain.
 *
 * @param spec	with "may_reuse"; its callback comes once, not from within
 * @return	FALSE when there is none: nothing was sent, and the callback
 *		won't come
 */
gboolean delegate_pool_send(struct delegate_pool *p, const char *worker,
			    const char *failure_domain,
			    const struct http_call_spec *spec);

#endif
