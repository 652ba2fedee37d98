/**
 * @file
 * One request from arrival to its one answer: flight.c has its life,
 * flight_send.c its sendings and retries, flight_log.c what is told of it.
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

/** Attempts of a repeatable request at the same time. */
#define FLIGHT_MAX_OUT 2

enum flight_state {
	FLIGHT_CLAIM,	 /**< waits for its claim's first read */
	FLIGHT_QUEUED,	 /**< in admission */
	FLIGHT_CLAIMING, /**< its claim is being written */
	FLIGHT_READY,	 /**< may be sent as soon as there is room */
	FLIGHT_SENT,
	FLIGHT_DELAYED, /**< waits before a retry */
};

/** One request from arrival to answer. */
struct flight {
	struct admission_item item; /**< first: admission gives it back */
	struct dispatcher *dispatcher;
	struct request_spec spec;
	char *id;
	enum flight_state state;
	int64_t arrival_ms;
	int64_t deadline_ms;
	uint32_t attempts;
	struct attempt out[FLIGHT_MAX_OUT];
	gboolean is_counted; /**< in flight in admission */
	gboolean may_have_run;
	struct routing_query query;
	struct endpoint *endpoint; /**< that answered */
	struct claim_handle *claim;
	gboolean is_claim_won;
	guint timer;
	dispatch_fn fn;
	void *data;
};

extern const struct claim_events flight_claim_events;

/** Frees a flight and drops its calls; given to the set of flights. */
void flight_free(gpointer data);

/** Queues the request in admission, or refuses it. */
void flight_enqueue(struct flight *f);

/** Has the request sent as soon as there is room. */
void flight_ready(struct flight *f);

/** Refuses a request that was never sent, or certainly never started. */
void flight_refuse(struct flight *f, enum reason reason);

/** Ends a request that this process decides on itself. */
void flight_finish(struct flight *f, enum answer_kind kind, enum reason reason,
		   json_object *result);

/** Sends the request. @return FALSE when no endpoint has room */
gboolean flight_try_send(struct flight *f, int64_t now_ms);

/** Takes the reply to one of the flight's attempts, which is over. */
void flight_on_reply(struct flight *f, struct attempt *a,
		     const struct run_reply *reply, int64_t now_ms);

void flight_note_arrival(const struct flight *f);

/** Notes an attempt that was not answered by what was asked for. */
void flight_note_failure(const struct flight *f, const struct endpoint *e,
			 const char *reason);
/** Logs why an overdue attempt gets no other one beside it. */
void flight_note_no_retry(const struct flight *f, const char *reason);
void flight_note_route(struct flight *f, const struct routing_choice *choice);
void flight_note_answer(struct flight *f, enum answer_kind kind,
			enum reason reason);

#endif
