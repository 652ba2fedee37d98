/**
 * @file
 * The endpoints of one service as this process sees them: its requests in
 * flight, the slots that the endpoint last reported, and whether it is eligible
 * for new requests. Updates and checks of one endpoint take constant time.
 */
#ifndef REQUEST_ENDPOINT_TABLE_H
#define REQUEST_ENDPOINT_TABLE_H

#include <glib.h>
#include <stdint.h>

/** Assumed slots of an endpoint that has not reported them; totals over the
 *  endpoints are always computed with this number. */
#define ENDPOINT_SLOTS 8
/** Limit of connections to an endpoint, shared by all gateways. */
#define ENDPOINT_MAX_CONNECTIONS 64
/** Age up to which a slot report is used. */
#define ENDPOINT_REPORT_MAX_AGE_MS INT64_C(500)

enum endpoint_state {
	ENDPOINT_LIVE,
	ENDPOINT_LEAVING, /**< draining; gets no new requests */
	ENDPOINT_EJECTED, /**< gets no new requests until ejected_until_ms */
};

/** Whether an endpoint is in this process's failure domain. */
enum endpoint_reach {
	ENDPOINT_LOCAL,
	ENDPOINT_REMOTE,
	ENDPOINT_REACH_COUNT,
};

/** Kind of slot that an endpoint has free for one more request. */
enum endpoint_room {
	ENDPOINT_ROOM_OWN,	/**< in this process's share */
	ENDPOINT_ROOM_BORROWED, /**< unused, in the share of another gateway */
	ENDPOINT_ROOM_REMOTE,	/**< in another failure domain */
	ENDPOINT_ROOM_COUNT,
	ENDPOINT_ROOM_NONE = ENDPOINT_ROOM_COUNT, /**< takes no request */
};

struct endpoint {
	char *name;
	char *address; /**< "IP:PORT" */
	char *failure_domain;
	enum endpoint_state state;
	enum endpoint_reach reach;
	uint32_t in_flight;   /**< requests of this process */
	uint32_t share;	      /**< slots that are this process's share */
	uint32_t slots;	      /**< in total */
	uint32_t others_busy; /**< slots in use by others at the last report */
	int64_t report_ms;    /**< time of the last report, -1 for none */
	int64_t latency_us;   /**< moving average over complete answers */
	/* Outlier detection, maintained by request/outlier.c. */
	uint32_t failures;  /**< consecutive */
	uint32_t ejections; /**< in short succession; lengthens the next one */
	int64_t ejected_until_ms;
	int64_t readmitted_ms; /**< end of the last ejection, -1 for none */
	double slowness;  /**< moving average of latency over the class mean */
	uint32_t samples; /**< in slowness */
	int64_t leaving_ms;	  /**< start of the leaving state */
	int64_t refused_until_ms; /**< end of the back-off, 0 for none */
	/* Positions in the arrays of the table. */
	int32_t index;
	enum endpoint_room room;
	int32_t room_index;
	gboolean is_listed; /**< in the list being applied */
	gboolean is_absent; /**< leaving only because a list omitted it */
};

struct endpoint_table {
	GHashTable *by_name;  /**< name to struct endpoint, owned */
	GPtrArray *endpoints; /**< all endpoints, unordered */
	/** For each kind of room the endpoints that have it. */
	GPtrArray *by_room[ENDPOINT_ROOM_COUNT];
	GQueue refused;		/**< in back-off, by refused_until_ms */
	char *failure_domain;	/**< of this process */
	uint32_t gateway_count; /**< gateways that share the slots */
	uint32_t gateway_rank;	/**< of this process, from 0 */
	uint32_t ejected_count;
	uint32_t live_count[ENDPOINT_REACH_COUNT]; /**< those not leaving */
	int64_t list_ms;  /**< time of the list being applied */
	double occupancy; /**< fraction of the local slots in use by anyone */
	uint64_t inspections; /**< endpoints inspected by routing */
};

struct endpoint_spec {
	const char *name;
	const char *address;
	const char *failure_domain;
	gboolean is_leaving;
};

struct endpoint_table *endpoint_table_new(const char *failure_domain);
void endpoint_table_free(struct endpoint_table *t);

/** Sets how many gateways share the slots, and the rank of this one. */
void endpoint_table_set_gateways(struct endpoint_table *t, uint32_t count,
				 uint32_t rank);

/**
 * Applies a complete list of endpoints: call begin, add for each, end. An
 * endpoint that the list omits becomes leaving and is removed once it has no
 * requests in flight. A leaving endpoint that is listed as live becomes live
 * again if only a list had omitted it, or if it has been leaving for so long
 * that it must have been restarted.
 */
void endpoint_table_list_begin(struct endpoint_table *t, int64_t now_ms);
void endpoint_table_list_add(struct endpoint_table *t,
			     const struct endpoint_spec *spec);
void endpoint_table_list_end(struct endpoint_table *t);

struct endpoint *endpoint_table_find(const struct endpoint_table *t,
				     const char *name);

/** Records that a request was sent to an endpoint. */
void endpoint_table_record_sent(struct endpoint_table *t, struct endpoint *e,
				int64_t now_ms);

/** Records the end of a request, whatever its outcome. */
void endpoint_table_record_ended(struct endpoint_table *t, struct endpoint *e,
				 int64_t now_ms);

/**
 * Applies a slot report that came with the answer of a request; call it before
 * endpoint_table_record_ended() of that request.
 */
void endpoint_table_apply_report(struct endpoint_table *t, struct endpoint *e,
				 uint32_t slots, uint32_t slots_busy,
				 int64_t now_ms);

/** Starts the back-off of an endpoint that replied that it has no free slot. */
void endpoint_table_record_refusal(struct endpoint_table *t, struct endpoint *e,
				   int64_t now_ms);

/** Ends the back-off of endpoints whose time is over. */
void endpoint_table_end_backoff(struct endpoint_table *t, int64_t now_ms);

void endpoint_table_set_state(struct endpoint_table *t, struct endpoint *e,
			      enum endpoint_state state, int64_t now_ms);

/** Returns how many requests this process may have in flight at an endpoint. */
uint32_t endpoint_limit(const struct endpoint_table *t,
			const struct endpoint *e, int64_t now_ms);

/** Updates the endpoint's room and its place in the lists by room; returns TRUE
 *  if it can take a request. */
gboolean endpoint_table_update_room(struct endpoint_table *t,
				    struct endpoint *e, int64_t now_ms);

/** Updates the room of all endpoints: reports become stale and limits rise with
 *  time. */
void endpoint_table_refresh(struct endpoint_table *t, int64_t now_ms);

/** Returns this process's share of the slots in its failure domain. */
uint32_t endpoint_table_capacity(const struct endpoint_table *t);

/** Returns TRUE if any endpoint had room at its last update. */
gboolean endpoint_table_any_has_room(const struct endpoint_table *t);

/** Returns an estimate of the endpoint's slots in use by anyone. */
uint32_t endpoint_busy_slots(const struct endpoint *e);

#endif
