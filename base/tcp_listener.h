/**
 * @file
 * Accepts the connections of a listening socket, some in each turn of the main
 * loop. While none can be accepted, as when no descriptor is left, it pauses.
 */
#ifndef BASE_TCP_LISTENER_H
#define BASE_TCP_LISTENER_H

#include <gio/gio.h>

struct tcp_listener;

struct tcp_listen_spec {
	int backlog;	  /**< connections that wait to be accepted */
	guint read_bytes; /**< unread bytes kept by the kernel */
	guint send_bytes; /**< untaken bytes kept by the kernel, 0: its own */
};

/**
 * Returns a listening socket, or NULL with @error set. Accepted sockets inherit
 * the sizes, which the kernel doubles for its own data; without them it keeps
 * megabytes for each.
 */
GSocket *tcp_listen(GSocketAddress *address, const struct tcp_listen_spec *spec,
		    GError **error);

/** Called with a connection, which lives on only if referenced. */
typedef void (*tcp_accept_fn)(GSocket *socket, void *data);

struct tcp_listener *tcp_listener_new(GSocket *socket, tcp_accept_fn fn,
				      void *data);
void tcp_listener_free(struct tcp_listener *l);

#endif
