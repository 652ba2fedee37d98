/**
 * @file
 * A row of the table "leases": who holds a pool, with which epoch.
 */
#ifndef SHARED_LEASE_ROW_H
#define SHARED_LEASE_ROW_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/schema.h"

#define LEASE_TABLE "leases"

struct lease_row {
	char *holder;	   /**< node, "" when released */
	char *incarnation; /**< of the holder */
	char *address;	   /**< HTTP address of the holder */
	int64_t epoch;	   /**< rises with each new holder, never falls */
	int64_t ttl_ms;	   /**< life from before each renewal was sent */
	char *commit_id;
};

extern const struct schema lease_row_schema;

void lease_row_clear(struct lease_row *r);

/** Replaces a row by a copy of another one. */
void lease_row_copy(struct lease_row *to, const struct lease_row *from);

/** Tells whether nobody holds the lease. */
gboolean lease_row_is_released(const struct lease_row *r);

#endif
