/**
 * @file
 * HTTP client for JSON bodies, built on libsoup. The status of a reply
 * distinguishes calls that were not sent from calls that may have taken effect.
 */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <glib.h>
#include <json-c/json.h>
#include <stdint.h>

#include "base/status.h"

/** Status code without a name in libsoup. */
#define HTTP_TOO_MANY_REQUESTS 429

struct http_client;
struct http_call;

struct http_reply {
	/**
	 * STATUS_OK for any complete response, STATUS_UNAVAILABLE if nothing
	 * was sent, STATUS_UNKNOWN if the request was sent but no complete
	 * response was received.
	 */
	enum status status;
	guint code;	    /**< HTTP status code, 0 without a response */
	json_object *body;  /**< NULL if absent or not JSON; borrowed */
	const char *text;   /**< the raw body, NULL without a response */
	GBytes *bytes;	    /**< the raw body if wants_bytes was set */
	const char *header; /**< the one that was asked for, NULL if absent */
	/**
	 * The request was sent before on a connection that ended or stayed
	 * silent; that request may have taken effect too, whatever this reply
	 * says.
	 */
	gboolean was_resent;
	/**
	 * A request was withheld, as the time in which it may be sent had
	 * passed.
	 */
	gboolean is_expired;
};

typedef void (*http_reply_fn)(const struct http_reply *reply, void *data);

struct http_call_spec {
	const char *method;
	const char *address; /**< "IP:PORT" */
	const char *path;    /**< with the query, percent-encoded */
	json_object *body;   /**< may be NULL; borrowed */
	int64_t timeout_ms;
	/**
	 * The request may be sent only within this time, which includes the
	 * time of a suspension of the VM; it is checked when the connection is
	 * ready. A process that was paused must not send what its caller has
	 * given up. 0 for the timeout.
	 */
	int64_t send_within_ms;
	/**
	 * Reuses an open connection if there is one, and resends the request
	 * on a new connection if the reused one has ended or stays silent for
	 * too long. Only for requests that the server may receive twice.
	 * New connections of such calls use the timeout as TCP_USER_TIMEOUT,
	 * so that unacknowledged data can't arrive after the call has ended.
	 */
	gboolean may_reuse;
	/**
	 * How long a reused connection may stay silent before the request is
	 * resent; 0 for a third of the timeout.
	 */
	int64_t max_silence_ms;
	/** Passes large bodies as bytes, neither parsed nor copied. */
	gboolean wants_bytes;
	/** Alternating names and values, NULL-terminated; may be NULL. */
	const char *const *headers;
	/** Name of a header to return in the reply, of static storage; or NULL.
	 */
	const char *wanted_header;
	http_reply_fn on_reply;
	void *data;
};

/**
 * Returns a new client.
 *
 * @param max_calls		 calls in flight; further calls end with
 *				 STATUS_UNAVAILABLE
 * @param max_per_address	 connections to one address
 */
struct http_client *http_client_new(guint max_calls, guint max_per_address);

/** Frees the client; calls in flight end without a callback. */
void http_client_free(struct http_client *c);

/**
 * Sends a request. The callback runs exactly once, never from within this
 * function, unless the call is cancelled.
 */
struct http_call *http_client_send(struct http_client *c,
				   const struct http_call_spec *spec);

/**
 * Cancels a call without a callback and closes its connection, so that a late
 * response can't be matched to another request.
 */
void http_call_cancel(struct http_call *call);

/** Bytes of headers and bodies of all completed calls. */
struct http_traffic {
	uint64_t sent_bytes;
	uint64_t received_bytes;
};

struct http_traffic http_client_traffic(const struct http_client *c);

/** Returns the number of sessions; each slows every main loop iteration. */
guint http_client_sessions(const struct http_client *c);

/** Returns the number of calls in flight. */
guint http_client_in_flight(const struct http_client *c);

#endif
