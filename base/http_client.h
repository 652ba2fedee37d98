/**
 * @file
 * HTTP calls with JSON bodies, by libsoup. The outcome tells apart calls that
 * were certainly not sent from calls that may have taken effect.
 */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

/** Status code that libsoup has no name for. */
#define HTTP_TOO_MANY_REQUESTS 429

struct http_client;
struct http_call;

struct http_reply {
	/**
	 * STATUS_OK for any whole answer, STATUS_UNAVAILABLE when nothing was
	 * sent, STATUS_UNKNOWN when it was sent and no whole answer came.
	 */
	enum status status;
	guint code;	   /**< HTTP status code, 0 without an answer */
	json_object *body; /**< NULL when absent or not JSON; not owned */
	const char *text;  /**< the body as it came, NULL without an answer */
	GBytes *bytes;	   /**< the body, when it was asked for as bytes */
	const char *etag;  /**< the header, NULL when there is none */
	/**
	 * It was sent before on a connection that ended or was silent: that
	 * sending may have its effect too, whatever this answer says.
	 */
	gboolean was_resent;
};

typedef void (*http_reply_fn)(const struct http_reply *reply, void *data);

struct http_call_spec {
	const char *method;
	const char *address; /**< "IP:PORT" */
	const char *path;    /**< with the query, escaped */
	json_object *body;   /**< may be NULL; not taken over */
	int64_t timeout_ms;
	/**
	 * Takes a connection that is open already, and sends anew on a new one
	 * when that has ended or is silent for a part of the timeout: only for
	 * calls that may reach the other side twice. Such a connection gives
	 * up what is not acknowledged within the timeout.
	 */
	gboolean may_reuse;
	/**
	 * How long such a connection may be silent before that; 0 stands for a
	 * part of the timeout.
	 */
	int64_t silent_ms;
	/** The body is given as bytes only: for large ones. */
	gboolean wants_bytes;
	/** Pairs of header name and value, ends with NULL; may be NULL. */
	const char *const *headers;
	http_reply_fn on_reply;
	void *data;
};

/**
 * Returns a new client.
 *
 * @param max_calls		 in flight; one more ends as
 *				 STATUS_UNAVAILABLE
 * @param max_per_address	 connections to one address
 */
struct http_client *http_client_new(guint max_calls, guint max_per_address);

/** Frees the client; calls in flight end without their callback. */
void http_client_free(struct http_client *c);

/**
 * Sends a call. The callback comes exactly once, never from within this
 * function, unless the call is cancelled.
 */
struct http_call *http_client_send(struct http_client *c,
				   const struct http_call_spec *spec);

/**
 * Ends a call without its callback and closes its connection, so that a late
 * answer can't meet another request.
 */
void http_call_cancel(struct http_call *call);

/** Bytes of headers and bodies of all answered calls. */
struct http_traffic {
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

struct http_traffic http_client_traffic(const struct http_client *c);

/** Returns the number of sessions, each of which costs every turn. */
guint http_client_sessions(const struct http_client *c);

/** Returns the number of calls in flight. */
guint http_client_in_flight(const struct http_client *c);

#endif
