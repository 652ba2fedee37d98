/**
 * @file
 * A row of the table "leases": the holder of a pool's lease and its epoch.
 */
#ifndef SHARED_LEASE_ROW_H
#define SHARED_LEASE_ROW_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/schema.h"

#define LEASE_TABLE "leases"

struct lease_row {
	char *holder;	   /**< node name, "" when released */
	char *incarnation; /**< of the holder */
	char *address;	   /**< HTTP address of the holder */
	int64_t epoch;	 /**< increases with each new holder, never decreases */
	int64_t ttl_ms;	 /**< lifetime, from when a renewal is sent */
	char *commit_id; /**< unique for each commit */
};

extern const struct schema lease_row_schema;

void lease_row_clear(struct lease_row *r);

/** Replaces @to with a deep copy of @from. */
void lease_row_copy(struct lease_row *to, const struct lease_row *from);

/** Returns TRUE if the row is absent or names no holder. */
gboolean lease_row_is_released(const struct lease_row *r);

#endif
