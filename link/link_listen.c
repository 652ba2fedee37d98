#include "link/link_listen.h"

#include <sys/socket.h>

#include "base/log.h"
#include "base/util.h"

/* Unread bytes that the kernel keeps for each connection. */
#define LINK_READ_BUFFER_BYTES (64 << 10)

/* Accepted sockets inherit the size; the kernel doubles it. */
static void limit_read_buffer(GSocket *socket)
{
	GError *error = NULL;
	struct log_line line;

	if (g_socket_set_option(socket, SOL_SOCKET, SO_RCVBUF,
				LINK_READ_BUFFER_BYTES, &error))
		return;
	log_begin(&line, LOG_LEVEL_WARN, "socket_buffers_unlimited");
	log_str(&line, "reason", error->message);
	log_end(&line);
	g_error_free(error);
}

static GSocket *listening_socket(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return NULL;
	limit_read_buffer(socket);
	g_socket_set_listen_backlog(socket, LINK_MAX_INBOUND);
	if (!g_socket_bind(socket, address, TRUE, error) ||
	    !g_socket_listen(socket, error))
		g_clear_object(&socket);
	return socket;
}

enum status link_listen(const char *address, tcp_accept_fn fn, void *data,
			struct tcp_listener **listener)
{
	enum status status = STATUS_OK;
	GSocketAddress *inet = NULL;
	GSocket *socket = NULL;
	GError *error = NULL;
	char *host = NULL;
	uint16_t port;

	if (!util_parse_endpoint(address, &host, &port))
		return status_fail(STATUS_INVALID,
				   "bad address %s, expected IP:PORT", address);
	inet = g_inet_socket_address_new_from_string(host, port);
	socket = listening_socket(inet, &error);
	if (socket) {
		*listener = tcp_listener_new(socket, fn, data);
		g_object_unref(socket);
	} else {
		status = status_fail(STATUS_UNAVAILABLE,
				     "can't listen at %s: %s", address,
				     error->message);
		g_error_free(error);
	}
	g_object_unref(inet);
	g_free(host);
	return status;
}
