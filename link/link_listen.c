#include "link/link_listen.h"

#include <sys/socket.h>

#include "base/log.h"
#include "base/util.h"

/* Unread bytes that the kernel keeps for each connection. */
#define LINK_READ_BUFFER_BYTES (64 << 10)

/* Accepted sockets inherit the size; the kernel doubles it. */
static void on_listener_event(GSocketListener *listener,
			      GSocketListenerEvent event, GSocket *socket,
			      gpointer data)
{
	GError *error = NULL;
	struct log_line line;

	if (event != G_SOCKET_LISTENER_BINDING ||
	    g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF,
				LINK_READ_BUFFER_BYTES, &error))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "socket_buffers_unlimited");
	log_str(&line, "reason", error->message);
	log_end(&line);
	g_error_free(error);
}

enum status link_listen(GSocketService *service, const char *address)
{
	GSocketListener *listener = G_SOCKET_LISTENER(service);
	enum status status = STATUS_OK;
	GSocketAddress *inet = NULL;
	GError *error = NULL;
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(address, &host, &port))
		return status_fail(STATUS_INVALID,
				   "bad address %s, expected IP:PORT", address);
	inet = g_inet_socket_address_new_from_string(host, port);
	g_signal_connect(listener, "event", G_CALLBACK(on_listener_event),
			 NULL);
	g_socket_listener_set_backlog(listener, LINK_MAX_INBOUND);
	if (!g_socket_listener_add_address(listener, inet, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL, NULL,
					   &error)) {
		status = status_fail(STATUS_UNAVAILABLE,
				     "can't listen at %s: %s", address,
				     error->message);
		g_error_free(error);
	}
	g_object_unref(inet);
	g_free(host);
	return status;
}
