/**
 * @file
 * Writes and reads rows of the table "claims". Writes that come while a
 * transaction is under way, or within a short time after the last one, are
 * committed together, to spare the platform's budget of writes.
 */
#ifndef DAEMON_CLAIM_STORE_H
#define DAEMON_CLAIM_STORE_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "store/platform.h"

/** Transactions a second that all entry processes of a service may use. */
#define CLAIM_COMMITS_PER_S 250

struct claim_store;

/** @param version	of the row after STATUS_OK */
typedef void (*claim_write_fn)(enum status status, int64_t version, void *data);

/** @param platform	not owned, outlives the store */
struct claim_store *claim_store_new(struct platform *platform,
				    struct counters *counters);
void claim_store_free(struct claim_store *s);

/** Sets how many processes share the budget of transactions. */
void claim_store_set_gateways(struct claim_store *s, uint32_t count);

/** Writes a row by compare-and-set; @param value is taken over. */
void claim_store_write(struct claim_store *s, const char *key,
		       int64_t expected_version, json_object *value,
		       claim_write_fn fn, void *data);

/** Reads a row, as platform_read(). */
void claim_store_read(struct claim_store *s, const char *key, platform_fn fn,
		      void *data);

/** Drops all callbacks that have this data; its writes may still be made. */
void claim_store_forget(struct claim_store *s, const void *data);

#endif
