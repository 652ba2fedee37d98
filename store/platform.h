/**
 * @file
 * Client interface of the platform that holds all durable state: a
 * transactional table service, an object store and an eventually consistent
 * list of VMs. Each kind of platform is a subclass; platform_new() selects it
 * by name.
 */
#ifndef STORE_PLATFORM_H
#define STORE_PLATFORM_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/counters.h"
#include "base/status.h"

/** Expected version that requires the row to be absent. */
#define TABLE_ABSENT INT64_C(0)
/** Expected version that matches any; only for kind "steppe". */
#define TABLE_ANY_VERSION INT64_C(-1)

struct table_row {
	const char *key;
	int64_t version;     /**< rises with each write, never reused */
	json_object *value;  /**< not owned */
	gboolean is_deleted; /**< reported by a watch: the row was deleted */
};

struct table_write {
	const char *table;
	const char *key;
	/** Version last read, TABLE_ABSENT or TABLE_ANY_VERSION. */
	int64_t expected_version;
	json_object *value;    /**< NULL deletes the row; not owned */
	gboolean is_condition; /**< only checks the row's version */
	/**
	 * Part of the table; commits within one part are serialized. NULL for
	 * the unnamed part. Only for kind "steppe".
	 */
	const char *part;
};

struct platform_result {
	/**
	 * STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT (the commit was not
	 * applied), STATUS_UNAVAILABLE (the call had no effect),
	 * STATUS_UNKNOWN (a write may have taken effect, or may still do so)
	 * or STATUS_INVALID (the platform rejected the request).
	 */
	enum status status;
	const struct table_row *rows; /**< of all calls on tables */
	guint row_count;
	json_object *object;	  /**< of an object read; not owned */
	GBytes *bytes;		  /**< undecoded body of the VM list */
	const char *etag;	  /**< of the VM list, NULL if none was sent */
	gboolean is_unchanged;	  /**< the VM list still has the query's ETag */
	const char *conflict_key; /**< key of the row with another version */
	int64_t body_bytes; /**< size of the answer's body, 0 without one */
	int64_t version;    /**< newest version in the table service, or 0 */
	/** Monotonic clock of the table service, or 0. */
	int64_t store_clock_ms;
	gboolean has_more; /**< the page ends before the requested range */
	/** The watch starts at too old a version; rescan the table. */
	gboolean is_history_gone;
};

typedef void (*platform_fn)(const struct platform_result *result, void *data);

struct platform;

/** Filter of a VM list read; a platform ignores members it doesn't support. */
struct vm_list_query {
	const char *failure_domain; /**< lists only its VMs; NULL lists all */
	const char *etag;	    /**< of the caller's copy, or NULL */
};

/** One page of a table, ordered by key. */
struct table_page_query {
	const char *table;
	const char *part;     /**< as in struct table_write */
	const char *from_key; /**< first key; "" for the start of the table */
	const char *to_key;   /**< end of the range, exclusive; "" for none */
	guint max_rows;
};

/** Long poll for the changes of a table after a version. */
struct table_watch_query {
	const char *table;
	int64_t after_version;
	/** Longest wait for a change; without any, the answer is empty. */
	int64_t long_poll_ms;
};

struct platform_class {
	const char *name;
	void (*read)(struct platform *p, const char *table, const char *key,
		     platform_fn fn, void *data);
	/** Reads a row of a named part; NULL if tables have no parts. */
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
	/** NULL if the platform has no paged reads. */
	void (*page)(struct platform *p, const struct table_page_query *query,
		     platform_fn fn, void *data);
	/** NULL if the platform has no change feed. */
	void (*watch)(struct platform *p, const struct table_watch_query *query,
		      platform_fn fn, void *data);
	/** Drops the callbacks of all pending calls with this data. */
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
	int64_t timeout_ms; /**< of a call, including its time in the queue */
	struct counters *counters;
	/** Limits of this process; NULL for store_gate_config_default. */
	const struct store_gate_config *gate;
};

/** Returns a new platform, or NULL with the last error message set. */
struct platform *platform_new(const struct platform_spec *spec);
void platform_free(struct platform *p);

/*
 * Every call ends with exactly one callback, unless it is dropped by
 * platform_forget(). The callback never runs within the call itself.
 */

/** Reads a row; STATUS_NOT_FOUND if it doesn't exist. */
void platform_read(struct platform *p, const char *table, const char *key,
		   platform_fn fn, void *data);

/**
 * Reads a row of a named part; the platform must have read_part. If the row
 * doesn't exist, the result has STATUS_OK and no rows.
 */
void platform_read_part(struct platform *p, const char *table, const char *part,
			const char *key, platform_fn fn, void *data);

/** Reads all rows whose key starts with a prefix, ordered by key. */
void platform_scan(struct platform *p, const char *table, const char *prefix,
		   platform_fn fn, void *data);

/** Applies all writes atomically; the result has the rows' new versions. */
void platform_commit(struct platform *p, const struct table_write *writes,
		     guint count, platform_fn fn, void *data);

void platform_object_get(struct platform *p, const char *name, platform_fn fn,
			 void *data);
void platform_object_put(struct platform *p, const char *name,
			 json_object *object, platform_fn fn, void *data);

/** Reads the list of VMs; docs/PROTOCOLS.md specifies the format. */
void platform_vm_list(struct platform *p, const struct vm_list_query *query,
		      platform_fn fn, void *data);

/** Reads a page of a table; the platform must support pages. */
void platform_page(struct platform *p, const struct table_page_query *query,
		   platform_fn fn, void *data);

/** Returns the shortest key that sorts after a key, to be freed. */
char *platform_key_after(const char *key);

/** Returns the key that the next page starts from, to be freed; NULL after the
 * last page. */
char *platform_next_page_key(const struct platform_result *result);

/** Waits for changes of a table; the platform must support watches. */
void platform_watch(struct platform *p, const struct table_watch_query *query,
		    platform_fn fn, void *data);

/** Drops the callbacks of all pending calls whose data is this pointer. */
void platform_forget(struct platform *p, const void *data);

#endif
