/**
 * @file
 * A client's request from its arrival to its answer: log line, headers, route
 * and key, and the way to other VMs while the store doesn't answer this one.
 */
#ifndef ENTRY_CLIENT_CALL_H
#define ENTRY_CLIENT_CALL_H

#include <json-c/json.h>

#include "base/http_server.h"
#include "base/kernel.h"
#include "store/platform.h"

/** Longest wait for a row before other VMs are asked: longer than a store needs
 * that is 60 times slower than usual. */
#define CLIENT_CALL_READ_MS 300

struct client_call;

/** What a request asks for. */
struct call_kind {
	const char *method;
	/** Serves a request on this VM; it ends in one of the functions below
	 * that free the call. */
	void (*serve)(struct client_call *c);
	gboolean has_body;
	/** It changes something, so that a lost answer leaves its outcome open.
	 */
	gboolean is_change;
};

/** What all calls of a process share. */
struct call_context {
	struct kernel *kernel;
	struct platform *platform;
	gboolean is_draining; /**< connections are closed after the answer */
	void *data;	      /**< for call_kind::serve */
};

struct client_call {
	const struct call_kind *kind;
	const struct call_context *context;
	struct http_request *request;
	json_object *body;	 /**< borrowed; NULL unless the kind has one */
	gboolean is_from_peer;	 /**< handed over by another VM */
	gboolean was_served;	 /**< this VM has tried to serve it */
	gboolean was_forwarded;	 /**< other VMs have been asked */
	gboolean may_have_run;	 /**< an attempt had no definite answer */
	gboolean is_job_missing; /**< there is no job to cancel, only a mark */
	gboolean was_rechecked;	 /**< its job was active and is read again */
	guint timer;		 /**< of the read in flight or the next one */
	char *id;
	char *route;
	char *account; /**< NULL on a public route without a known key */
	int64_t began_ms;
	int64_t deadline_ms; /**< how long the client waits, from began_ms */
};

/**
 * Begins a call: parses the body, then serves the request, or hands it over
 * while the store doesn't answer this VM.
 *
 * @param is_from_peer	handed over by another VM, so handed over no further
 */
void client_call_begin(const struct call_context *context,
		       struct http_request *r, const struct call_kind *kind,
		       gboolean is_from_peer);

/**
 * Replies with a status code and a reason as plain text; frees the call. A
 * rejection is replaced by 504 if an attempt at the change may have taken
 * effect: the caller must not be told that the request has not run.
 */
void client_call_answer(struct client_call *c, guint code, const char *reason);

/** Replies with a JSON body and frees the body and the call. */
void client_call_answer_json(struct client_call *c, json_object *body,
			     const char *reason);

/**
 * The store did not answer this VM: asks other VMs, or gives up.
 *
 * @param may_have_run	the request may take effect nevertheless
 */
void client_call_fail(struct client_call *c, gboolean may_have_run,
		      const char *reason);

/**
 * Resolves the route, the account of the client's key and the job id.
 *
 * @return	FALSE if that failed: the call was answered or handed over, and
 *		must not be used any more
 */
gboolean client_call_find_route(struct client_call *c);

/**
 * Reads a row; other VMs are asked if that takes too long. @fn has to call
 * client_call_stop_timer() first.
 */
void client_call_read_row(struct client_call *c, const char *table,
			  const char *part, const char *key, platform_fn fn);
void client_call_stop_timer(struct client_call *c);

#endif
