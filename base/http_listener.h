/**
 * @file
 * Accepts the connections of a listening socket, some in each turn of the main
 * loop. While none can be accepted, as when no descriptor is left, it pauses.
 */
#ifndef BASE_HTTP_LISTENER_H
#define BASE_HTTP_LISTENER_H

#include <gio/gio.h>

struct http_listener;

/** The socket is owned by the caller of this function. */
typedef void (*http_accept_fn)(GSocket *socket, void *data);

struct http_listener *http_listener_new(GSocket *socket, http_accept_fn fn,
					void *data);
void http_listener_free(struct http_listener *l);

#endif
