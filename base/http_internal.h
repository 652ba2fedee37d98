/**
 * @file
 * What the two halves of the HTTP server share: base/http_server.c reads
 * requests, base/http_request.c answers them.
 */
#ifndef BASE_HTTP_INTERNAL_H
#define BASE_HTTP_INTERNAL_H

#include "base/tcp_listener.h"
#include "base/http_server.h"
#include "base/request_stream.h"

struct http_server {
	SoupServer *soup;
	struct http_limits limits;
	struct tcp_listener *listener;
	/* Never runs: libsoup accepts no connections itself. */
	GMainContext *unused_context;
	struct connection_guard *guard;
	GPtrArray *routes; /**< of struct route */
	gsize max_body_bytes;
	guint pending;
};

struct http_request {
	struct http_server *server;
	SoupServerMessage *message;
	GHashTable *query;
	char *path_suffix;
	json_object *body;    /* parsed, NULL if not yet */
	int64_t held_bytes;   /* reserved at the server's guard */
	gboolean is_finished; /**< response fully sent, or disconnected */
	gboolean is_answered;
};

/** Returns a message's connection, or NULL if that was closed. */
RequestStream *http_message_stream(SoupServerMessage *message);

/** Takes over what is held for the message's connection. */
struct http_request *http_request_new(struct http_server *s,
				      SoupServerMessage *message,
				      GHashTable *query, const char *rest);

/** Reserves memory for processing; FALSE if it was refused for want of it. */
gboolean http_request_admit(struct http_request *r);

#endif
