/**
 * @file
 * The platform that keeps what must last: a transactional table service, an
 * object store and a lagging list of VMs. Kinds of platform are subclasses;
 * platform_new() chooses one from a table.
 */
#ifndef STORE_PLATFORM_H
#define STORE_PLATFORM_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"

/** Expected version of a row that must not exist. */
#define TABLE_ABSENT INT64_C(0)
/** The row is written whatever its version is (kind "steppe"). */
#define TABLE_ANY_VERSION INT64_C(-1)

struct table_row {
	const char *key;
	int64_t version;     /**< rises with each write, never used again */
	json_object *value;  /**< not owned */
	gboolean is_deleted; /**< of a watch: the row is gone */
};

struct table_write {
	const char *table;
	const char *key;
	int64_t expected_version; /**< TABLE_ABSENT or that of the last read */
	json_object *value;	  /**< NULL deletes the row; not taken over */
	gboolean is_condition;	  /**< the row is compared, not written */
	/**
	 * Of the table; commits within one part are done one after another.
	 * NULL for the one without a name (kind "steppe").
	 */
	const char *part;
};

struct platform_result {
	/**
	 * STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT (a commit certainly
	 * changed nothing), STATUS_UNAVAILABLE (certainly no effect) or
	 * STATUS_UNKNOWN (a write may have taken effect, also later).
	 */
	enum status status;
	const struct table_row *rows; /**< of a read, scan or commit */
	guint row_count;
	json_object *object;   /**< of an object */
	GBytes *bytes;	       /**< the VM list as it came */
	const char *etag;      /**< of the VM list, NULL without one */
	gboolean is_unchanged; /**< the VM list is that of the query's ETag */
	const char *conflict_key; /**< of the row that conflicted */
	int64_t body_bytes;	  /**< of the answer, 0 without one */
	int64_t version;	  /**< newest of the table service, or 0 */
	int64_t store_ms;	  /**< steady clock of the service, or 0 */
	gboolean has_more;	  /**< a page ends before the range does */
	gboolean is_history_gone; /**< a watch has to scan the table anew */
};

typedef void (*platform_fn)(const struct platform_result *result, void *data);

struct platform;

/** What to read of the VM list; what a platform lacks, it leaves aside. */
struct vm_list_query {
	const char *failure_domain; /**< only its VMs, NULL for all */
	const char *etag;	    /**< of the list that is held, or NULL */
};

/** One page of a table, ordered by key. */
struct table_page_query {
	const char *table;
	const char *part;     /**< as in a write */
	const char *from_key; /**< first one, "" for the start */
	const char *to_key;   /**< excluded, "" for no end */
	guint max_rows;
};

/** Changes of a table after a version; answered when there are any. */
struct table_watch_query {
	const char *table;
	int64_t after_version;
	int64_t wait_ms; /**< until an answer without changes */
};

struct platform_class {
	const char *name;
	void (*read)(struct platform *p, const char *table, const char *key,
		     platform_fn fn, void *data);
	/** Reads a row of a named part; NULL where there are no parts. */
	void (*read_part)(struct platform *p, const char *table,
			  const char *part, const char *key, platform_fn fn,
			  void *data);
	void (*scan)(struct platform *p, const char *table, const char *prefix,
		     platform_fn fn, void *data);
	void (*commit)(struct platform *p, const struct table_write *writes,
		       guint count, platform_fn fn, void *data);
	void (*object_get)(struct platform *p, const char *name, platform_fn fn,
			   void *data);
	void (*object_put)(struct platform *p, const char *name,
			   json_object *object, platform_fn fn, void *data);
	void (*vm_list)(struct platform *p, const struct vm_list_query *query,
			platform_fn fn, void *data);
	/** NULL where the platform reads whole tables only. */
	void (*page)(struct platform *p, const struct table_page_query *query,
		     platform_fn fn, void *data);
	/** NULL where the platform has no feed of changes. */
	void (*watch)(struct platform *p, const struct table_watch_query *query,
		      platform_fn fn, void *data);
	/** Drops all callbacks of calls in flight that have this data. */
	void (*forget)(struct platform *p, const void *data);
	void (*free)(struct platform *p);
};

/** First member of every kind of platform. */
struct platform {
	const struct platform_class *class;
};

struct store_gate_config;

struct platform_spec {
	const char *kind;	    /**< "http" or "steppe" */
	const char *address;	    /**< "IP:PORT" */
	const char *failure_domain; /**< of the caller */
	int64_t timeout_ms;
	struct counters *counters;
	/** Limits of this process; NULL for those of a shared platform. */
	const struct store_gate_config *gate;
};

/** Returns a new platform of a kind, or NULL with the last message set. */
struct platform *platform_new(const struct platform_spec *spec);
void platform_free(struct platform *p);

/*
 * Every call ends with one callback, never from within the call itself.
 */

/** Reads a row; STATUS_NOT_FOUND when it does not exist. */
void platform_read(struct platform *p, const char *table, const char *key,
		   platform_fn fn, void *data);

/** Reads a row of a named part; no row is no failure. */
void platform_read_part(struct platform *p, const char *table, const char *part,
			const char *key, platform_fn fn, void *data);

/** Reads all rows whose key starts with a prefix, ordered by key. */
void platform_scan(struct platform *p, const char *table, const char *prefix,
		   platform_fn fn, void *data);

/** Applies all writes or none; the result holds the rows' new versions. */
void platform_commit(struct platform *p, const struct table_write *writes,
		     guint count, platform_fn fn, void *data);

void platform_object_get(struct platform *p, const char *name, platform_fn fn,
			 void *data);
void platform_object_put(struct platform *p, const char *name,
			 json_object *object, platform_fn fn, void *data);

/** Reads the lagging list of VMs; the bytes are as docs/PROTOCOLS.md has it. */
void platform_vm_list(struct platform *p, const struct vm_list_query *query,
		      platform_fn fn, void *data);

/** Reads a page; the platform must offer it. */
void platform_page(struct platform *p, const struct table_page_query *query,
		   platform_fn fn, void *data);

/** Waits for changes; the platform must offer it. */
void platform_watch(struct platform *p, const struct table_watch_query *query,
		    platform_fn fn, void *data);

/** Drops the callbacks of all calls in flight that have this data. */
void platform_forget(struct platform *p, const void *data);

#endif
