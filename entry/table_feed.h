/**
 * @file
 * Follows a table of the platform: reads it once, then its changes. When the
 * history of changes is gone it reads the table anew, and tells of the rows
 * that went meanwhile.
 */
#ifndef ENTRY_TABLE_FEED_H
#define ENTRY_TABLE_FEED_H

#include "store/platform.h"

struct table_feed;

struct table_feed_spec {
	struct platform *platform;
	const char *table;
	/** Parts to read, ends with NULL; NULL for the one without a name. */
	const char *const *parts;
	int64_t wait_ms; /**< longest time that a call is held back */
	/** A row is new or changed; its value is NULL when it is deleted. */
	void (*on_row)(void *data, const struct table_row *row,
		       int64_t store_ms);
	/** The whole table has been read; may be NULL. */
	void (*on_synced)(void *data);
	/** A call was answered, or not; may be NULL. */
	void (*on_contact)(void *data, gboolean is_good, int64_t store_ms);
	void *data;
};

struct table_feed *table_feed_new(const struct table_feed_spec *spec);
void table_feed_free(struct table_feed *f);

/** Tells whether the table has been read whole. */
gboolean table_feed_is_synced(const struct table_feed *f);

/** Returns the time of the last answer, 0 for none. */
int64_t table_feed_contact_ms(const struct table_feed *f);

#endif
