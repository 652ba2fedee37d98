#include "link/link_listen.h"

#include "base/util.h"

/* Unread bytes that the kernel keeps for each connection. */
#define LINK_READ_BUFFER_BYTES (64 << 10)

enum status link_listen(const char *address, tcp_accept_fn fn, void *data,
			struct tcp_listener **listener)
{
	static const struct tcp_listen_spec spec = {
		.backlog = LINK_MAX_INBOUND,
		.read_bytes = LINK_READ_BUFFER_BYTES,
	};
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
	socket = tcp_listen(inet, &spec, &error);
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
