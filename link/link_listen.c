#include "link/link_listen.h"

#include "base/util.h"

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
