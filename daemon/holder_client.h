/**
 * @file
 * Calls to the process that holds a pool's lease. Its address is read from the
 * table "leases" and cached for a few seconds.
 */
#ifndef DAEMON_HOLDER_CLIENT_H
#define DAEMON_HOLDER_CLIENT_H

#include "base/http_client.h"
#include "base/kernel.h"

struct holder_client;

struct holder_client *holder_client_new(struct kernel *k);
void holder_client_free(struct holder_client *h);

/**
 * Notifies the holder that a job's row was written. Only a hint: it may be
 * lost, and the holder then finds the row with its next scan.
 */
void holder_client_poke(struct holder_client *h, const char *pool,
			const char *id);

/**
 * Sends a GET to the holder. The callback is called once, unless the client is
 * freed first; with STATUS_UNAVAILABLE when the holder is not known.
 */
void holder_client_get(struct holder_client *h, const char *pool,
		       const char *path, http_reply_fn fn, void *data);

#endif
