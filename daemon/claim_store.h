/**
 * @file
 * Writes and reads rows of the table "claims". Writes submitted while a
 * transaction is in progress, or shortly after the last one, are committed
 * together, because the platform limits the transactions per second.
 */
#ifndef DAEMON_CLAIM_STORE_H
#define DAEMON_CLAIM_STORE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "store/platform.h"

/** Limit on transactions per second, shared by all gateways of a service. */
#define CLAIM_COMMITS_PER_S 250

struct claim_store;

/** @param version	new version of the row; only valid with STATUS_OK */
typedef void (*claim_write_fn)(enum status status, int64_t version, void *data);

/** @param platform	not owned, must outlive the store */
struct claim_store *claim_store_new(struct platform *platform,
				    struct counters *counters);
void claim_store_free(struct claim_store *s);

/** Sets the number of gateways that share CLAIM_COMMITS_PER_S. */
void claim_store_set_gateways(struct claim_store *s, uint32_t count);

/**
 * Writes a row by compare-and-set.
 *
 * @param expected_version	of the row, TABLE_ABSENT to create it
 * @param value	ownership passes to the store
 */
void claim_store_write(struct claim_store *s, const char *key,
		       int64_t expected_version, json_object *value,
		       claim_write_fn fn, void *data);

/** Reads a row; see platform_read(). */
void claim_store_read(struct claim_store *s, const char *key, platform_fn fn,
		      void *data);

/**
 * Cancels all callbacks registered with @data. Writes that are queued or in
 * progress may still be committed.
 */
void claim_store_forget(struct claim_store *s, const void *data);

#endif
