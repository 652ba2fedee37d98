/**
 * @file
 * A request in this process, from arrival to its answer: flight.c implements
 * its states, flight_send.c sending and retries, flight_log.c log lines and
 * decision records.
 */
#ifndef DAEMON_FLIGHT_H
#define DAEMON_FLIGHT_H

#include <glib.h>
#include <stdint.h>

#include "daemon/attempt.h"
#include "daemon/claims.h"
#include "daemon/dispatcher.h"
#include "request/admission.h"
#include "request/routing/routing.h"
#include "request/run_reply.h"

/** Limit on concurrent attempts of a repeatable request. */
#define FLIGHT_MAX_ACTIVE_ATTEMPTS 2

enum flight_state {
	FLIGHT_READING_CLAIM, /**< waits for the first read of its claim */
	FLIGHT_QUEUED,	      /**< in an admission queue */
	FLIGHT_WRITING_CLAIM, /**< its claim row is being written */
	FLIGHT_READY,	      /**< is sent as soon as an endpoint has room */
	FLIGHT_SENT,	      /**< has an active attempt */
	FLIGHT_DELAYED,	      /**< waits for a retry, or for its refusal to
				   be recorded */
};

/** A request, from arrival to answer. */
struct flight {
	struct admission_item item; /**< must be first: it is cast to flight */
	struct dispatcher *dispatcher;
	struct request_spec spec;
	char *id; /**< request id */
	enum flight_state state;
	int64_t arrival_ms;  /**< monotonic clock */
	int64_t deadline_ms; /**< monotonic clock */
	uint32_t attempt_count;
	struct attempt attempt_slots[FLIGHT_MAX_ACTIVE_ATTEMPTS];
	gboolean is_counted;   /**< admission counts it as in flight */
	gboolean may_have_run; /**< an attempt may have started */
	struct routing_query query;
	struct endpoint *endpoint;  /**< that answered, NULL before */
	struct claim_handle *claim; /**< NULL if repeatable or ended */
	gboolean is_claim_won;
	guint timer; /**< of the start, a retry or a hedged attempt */
	dispatch_answer_fn fn;
	void *data;
};

extern const struct claim_events flight_claim_events;

/** Frees a flight and cancels its calls; destroy function of the flight set. */
void flight_free(gpointer data);

/** Queues the request in admission or refuses it. */
void flight_enqueue(struct flight *f);

/** Marks the request to be sent as soon as an endpoint has room. */
void flight_mark_ready(struct flight *f);

/**
 * Refuses a request: not run if no attempt can have started, else unknown with
 * REASON_LOST_ANSWER.
 */
void flight_refuse(struct flight *f, enum reason reason);

/** Ends a request whose answer this process determines, and records it. */
void flight_finish(struct flight *f, enum answer_kind kind, enum reason reason,
		   json_object *result);

/** Sends the request. @return FALSE if no endpoint has room */
gboolean flight_try_send(struct flight *f, int64_t now_ms);

/** Handles the reply to one of the flight's attempts, which has ended. */
void flight_on_reply(struct flight *f, struct attempt *a,
		     const struct run_reply *reply, int64_t now_ms);

/** Logs the request and adds its decision record. */
void flight_record_arrival(const struct flight *f);

/** Logs an attempt that failed or made no progress. */
void flight_log_failure(const struct flight *f, const struct endpoint *e,
			const char *reason);

/** Logs why no hedged attempt is sent beside an overdue one. */
void flight_log_no_hedge(const struct flight *f, const char *reason);

/** Logs the chosen endpoint and updates the decision record. */
void flight_record_route(struct flight *f, const struct routing_choice *choice);

/** Logs and counts the answer and updates the decision record. */
void flight_record_answer(struct flight *f, enum answer_kind kind,
			  enum reason reason);

#endif
