/**
 * @file
 * An HTTP server with JSON bodies, by libsoup. Handlers may answer later.
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

/** Returns a new server that refuses bodies above a size with status 413. */
struct http_server *http_server_new(gsize max_body_bytes);
void http_server_free(struct http_server *s);

/** Replaces the limits of connections; before listening. */
void http_server_set_limits(struct http_server *s,
			    const struct connection_limits *limits);

/** Returns the guard of the connections, for its counts. */
const struct connection_guard *http_server_guard(const struct http_server *s);

/**
 * Adds a handler for a method and a path prefix; the longest prefix wins.
 * Each request must be answered once by one of the http_request_reply_*
 * functions, now or later.
 */
void http_server_route(struct http_server *s, const char *method,
		       const char *prefix, http_handler handler, void *data);

/** Listens on an IP number; port 0 takes a free one. */
enum status http_server_listen(struct http_server *s, const char *host,
			       uint16_t port);

/** Returns the port that the server listens on. */
uint16_t http_server_port(const struct http_server *s);

/** Returns the number of requests whose answers are not sent whole yet. */
guint http_server_pending(const struct http_server *s);

/** Returns what follows the route's prefix in the path. */
const char *http_request_rest(const struct http_request *r);

/** Returns a parameter of the query, or NULL. */
const char *http_request_query(const struct http_request *r, const char *name);

/** Returns a header, or NULL. */
const char *http_request_header(const struct http_request *r, const char *name);

/**
 * Parses the body strictly. On a problem answers 400 with the findings and
 * returns NULL, and the request must not be used again.
 *
 * @return	the body, owned by the request
 */
json_object *http_request_json(struct http_request *r);

/** Returns the body as it came. */
GBytes *http_request_body(const struct http_request *r);

/** Tells whether the caller has hung up; the request still needs a reply. */
gboolean http_request_is_gone(const struct http_request *r);

/** Answers with a JSON body, which is taken over. */
void http_request_reply(struct http_request *r, guint code, json_object *body);

/** Sets a header of the answer, before the answer. */
void http_request_set_reply_header(struct http_request *r, const char *name,
				   const char *value);

/** Answers without a body. */
void http_request_reply_empty(struct http_request *r, guint code);

/** Answers with a plain text. */
void http_request_reply_text(struct http_request *r, guint code,
			     const char *text);

/** Answers 400 with all findings. */
void http_request_reply_findings(struct http_request *r,
				 const struct finding_list *findings);

/** Closes the connection without an answer (for stand-ins). */
void http_request_abandon(struct http_request *r);

#endif
