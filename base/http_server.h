/**
 * @file
 * HTTP server for JSON bodies, built on libsoup. Handlers may reply later.
 */
#ifndef BASE_HTTP_SERVER_H
#define BASE_HTTP_SERVER_H

#include <glib.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdint.h>

#include "base/connection_guard.h"
#include "base/finding.h"
#include "base/status.h"

struct http_server;
struct http_request;

typedef void (*http_handler)(struct http_request *r, void *data);

/** What the clients of a server can make it hold; see
 * docs/design/client-limits.md. */
struct http_limits {
	const char *port; /**< name for the log, a literal */
	struct connection_limits connections;
	gsize parsed_bytes; /**< of one body, as JSON in memory */
	gsize head_bytes;   /**< of one request */
	guint head_lines;   /**< of one request */
	/** An earlier attempt of a request may run elsewhere, so that a request
	 * without room is answered 504 instead of 503. */
	gboolean may_run_elsewhere;
	guint socket_read_bytes; /**< unread bytes kept by the kernel */
	guint socket_send_bytes; /**< untaken bytes kept by the kernel */
};

/** Returns the limits of servers that are not told any. */
const struct http_limits *http_default_limits(void);

/** Returns a new server that rejects larger bodies with status 413. */
struct http_server *http_server_new(gsize max_body_bytes);
void http_server_free(struct http_server *s);

/** Replaces the limits; call it before listening. */
void http_server_set_limits(struct http_server *s,
			    const struct http_limits *limits);

/** Returns the connection guard, for its counts. */
const struct connection_guard *http_server_guard(const struct http_server *s);

/**
 * Adds a handler for a method and a path prefix; the longest prefix wins.
 * Each request must be answered exactly once by one of the
 * http_request_reply_* functions, from the handler or later.
 */
void http_server_add_route(struct http_server *s, const char *method,
			   const char *prefix, http_handler handler,
			   void *data);

/** Listens on an IP address; port 0 selects a free port. */
enum status http_server_listen(struct http_server *s, const char *host,
			       uint16_t port);

/** Returns the port that the server listens on. */
uint16_t http_server_port(const struct http_server *s);

/** Returns the number of requests whose response is not fully sent. */
guint http_server_pending(const struct http_server *s);

/** Returns the part of the path after the prefix of the route. */
const char *http_request_path_suffix(const struct http_request *r);

/** Returns a query parameter, or NULL. */
const char *http_request_query(const struct http_request *r, const char *name);

/** Returns a request header, or NULL. */
const char *http_request_header(const struct http_request *r, const char *name);

/**
 * Parses the body as strict JSON. On a problem, replies 400 with the findings
 * and returns NULL; the request must not be used afterwards.
 *
 * @return	the body, owned by the request
 */
json_object *http_request_json(struct http_request *r);

/** Returns the raw body; unref it. */
GBytes *http_request_body(const struct http_request *r);

/** Returns TRUE if the client has disconnected; a reply is still required. */
gboolean http_request_is_disconnected(const struct http_request *r);

/** Replies with a JSON body and takes ownership of it. */
void http_request_reply(struct http_request *r, guint code, json_object *body);

/** Sets a response header; call it before the reply. */
void http_request_set_reply_header(struct http_request *r, const char *name,
				   const char *value);

/** Replies without a body. */
void http_request_reply_empty(struct http_request *r, guint code);

/** Replies with plain text. */
void http_request_reply_text(struct http_request *r, guint code,
			     const char *text);

/** Replies 400 with all findings. */
void http_request_reply_findings(struct http_request *r,
				 const struct finding_list *findings);

/** Closes the connection without a reply (for stand-ins). */
void http_request_close_connection(struct http_request *r);

#endif
