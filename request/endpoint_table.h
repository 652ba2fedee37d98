/**
 * @file
 * The endpoints of one service as this process sees them: what it has in
 * flight there, what the endpoint reported of its slots, and whether it may
 * get new work. All updates and checks take constant time.
 */
#ifndef REQUEST_ENDPOINT_TABLE_H
#define REQUEST_ENDPOINT_TABLE_H

#include <glib.h>
#include <stdint.h>

#define ENDPOINT_SLOTS 8
#define ENDPOINT_MAX_CONNECTIONS 64
/** A report of slots is relied on for so long. */
#define ENDPOINT_REPORT_FRESH_MS INT64_C(500)

enum endpoint_state {
	ENDPOINT_LIVE,
	ENDPOINT_LEAVING, /**< gets nothing new */
	ENDPOINT_EJECTED, /**< gets nothing new for a while */
};

/** Whether an endpoint is in this process's failure domain. */
enum endpoint_reach {
	ENDPOINT_LOCAL,
	ENDPOINT_REMOTE,
	ENDPOINT_REACH_COUNT,
};

/** What kind of room an endpoint has for one more request. */
enum endpoint_room {
	ENDPOINT_ROOM_OWN,	/**< within this process's share */
	ENDPOINT_ROOM_BORROWED, /**< in a share that others leave unused */
	ENDPOINT_ROOM_REMOTE,	/**< in another failure domain */
	ENDPOINT_ROOM_COUNT,
	ENDPOINT_ROOM_NONE = ENDPOINT_ROOM_COUNT,
};

struct endpoint {
	char *name;
	char *address; /**< "IP:PORT" */
	char *failure_domain;
	enum endpoint_state state;
	enum endpoint_reach reach;
	uint32_t in_flight; /**< requests of this process */
	uint32_t share;	    /**< slots that are this process's own */
	uint32_t slots;
	uint32_t others_busy; /**< slots held by others at the last report */
	int64_t report_ms;    /**< time of the last report, -1 for none */
	int64_t latency_us;   /**< moving average of whole answers */
	/* Kept by request/outlier.c. */
	uint32_t failures;  /**< in a row */
	uint32_t ejections; /**< lately */
	int64_t ejected_until_ms;
	int64_t returned_ms; /**< end of the last ejection, -1 for none */
	double slowness;     /**< moving average of latency over the mean */
	uint32_t samples;
	int64_t leaving_ms;	  /**< since when it is leaving */
	int64_t refused_until_ms; /**< had no free slot a moment ago */
	/* Position in the arrays of the table. */
	int32_t index;
	enum endpoint_room room;
	int32_t room_index;
	gboolean is_listed; /**< seen in the list being taken over */
	gboolean is_absent; /**< leaving only as a list lacked it */
};

struct endpoint_table {
	GHashTable *by_name;  /**< name to struct endpoint, owned */
	GPtrArray *endpoints; /**< all */
	GPtrArray *with_room[ENDPOINT_ROOM_COUNT];
	GQueue refused;		/**< those that had no free slot, by time */
	char *failure_domain;	/**< of this process */
	uint32_t gateway_count; /**< entry processes of the domain */
	uint32_t gateway_rank;	/**< of this process among them */
	uint32_t ejected_count;
	uint32_t live_count[ENDPOINT_REACH_COUNT]; /**< not leaving */
	int64_t list_ms;      /**< time of the list being taken over */
	double occupancy;     /**< share of the local slots in use by anyone */
	uint64_t inspections; /**< endpoints looked at by choices */
};

struct endpoint_spec {
	const char *name;
	const char *address;
	const char *failure_domain;
	gboolean is_leaving;
};

struct endpoint_table *endpoint_table_new(const char *failure_domain);
void endpoint_table_free(struct endpoint_table *t);

/** Sets how many entry processes share the slots, and which one this is. */
void endpoint_table_set_gateways(struct endpoint_table *t, uint32_t count,
				 uint32_t rank);

/**
 * Takes over one list of endpoints: call begin, add for each, end. Endpoints
 * that are not in the list become leaving, and are dropped once idle. One that
 * is listed as live long after it was leaving has been started again.
 */
void endpoint_table_list_begin(struct endpoint_table *t, int64_t now_ms);
void endpoint_table_list_add(struct endpoint_table *t,
			     const struct endpoint_spec *spec);
void endpoint_table_list_end(struct endpoint_table *t);

struct endpoint *endpoint_table_find(const struct endpoint_table *t,
				     const char *name);

/** Counts a request that is sent to an endpoint. */
void endpoint_table_sent(struct endpoint_table *t, struct endpoint *e,
			 int64_t now_ms);

/** Counts the end of a request, in whatever way. */
void endpoint_table_ended(struct endpoint_table *t, struct endpoint *e,
			  int64_t now_ms);

/** Takes an endpoint's own report, that came with the answer of a request
 * which is still counted as in flight. */
void endpoint_table_report(struct endpoint_table *t, struct endpoint *e,
			   uint32_t slots, uint32_t slots_busy, int64_t now_ms);

/** Gives an endpoint that had no free slot no request for a short time. */
void endpoint_table_refused(struct endpoint_table *t, struct endpoint *e,
			    int64_t now_ms);

/** Lets endpoints take requests again that had no free slot. */
void endpoint_table_retry_refused(struct endpoint_table *t, int64_t now_ms);

void endpoint_table_set_state(struct endpoint_table *t, struct endpoint *e,
			      enum endpoint_state state, int64_t now_ms);

/** Returns how many requests of this process may be in flight there now. */
uint32_t endpoint_limit(const struct endpoint_table *t,
			const struct endpoint *e, int64_t now_ms);

/** Tells whether one more request may be sent, and files it by its room. */
gboolean endpoint_table_has_room(struct endpoint_table *t, struct endpoint *e,
				 int64_t now_ms);

/** Looks again at all endpoints whose report may have gone stale. */
void endpoint_table_refresh(struct endpoint_table *t, int64_t now_ms);

/** Returns the slots that are this process's own in its failure domain. */
uint32_t endpoint_table_capacity(const struct endpoint_table *t);

/** Tells whether any endpoint has room. */
gboolean endpoint_table_is_open(const struct endpoint_table *t);

/** Estimates the slots in use there, by anyone. */
uint32_t endpoint_busy(const struct endpoint *e);

#endif
