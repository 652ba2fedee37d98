#include "review/tool-4/proxy.h"

#include <gio/gio.h>
#include <stdio.h>
#include <stdlib.h>

struct proxy {
	char *address;
	char *target;
	guint16 port;
	GSocketService *service; /* NULL while it refuses */
	GHashTable *pairs; /* set of struct pair that are connected */
};

/* The two directions of a connection. */
struct pair {
	struct proxy *proxy;
	GSocketConnection *sides[2];
	guint open;
};

static void shut_down(struct pair *p)
{
	for (guint i = 0; i < 2; i++)
		g_socket_shutdown(g_socket_connection_get_socket(p->sides[i]),
				  TRUE, TRUE, NULL);
}

static void on_spliced(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pair *p = data;

	g_output_stream_splice_finish(G_OUTPUT_STREAM(source), result, NULL);
	/* An end of one direction ends the connection, as HTTP needs both. */
	shut_down(p);
	if (--p->open)
		return;
	g_hash_table_remove(p->proxy->pairs, p);
	g_object_unref(p->sides[0]);
	g_object_unref(p->sides[1]);
	g_free(p);
}

static void splice(struct pair *p, guint from)
{
	GIOStream *in = G_IO_STREAM(p->sides[from]);
	GIOStream *out = G_IO_STREAM(p->sides[1 - from]);

	g_output_stream_splice_async(g_io_stream_get_output_stream(out),
				     g_io_stream_get_input_stream(in),
				     G_OUTPUT_STREAM_SPLICE_NONE,
				     G_PRIORITY_DEFAULT, NULL, on_spliced, p);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pair *p = data;

	p->sides[1] = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(source), result, NULL);
	g_object_unref(source);
	if (!p->sides[1]) {
		g_object_unref(p->sides[0]);
		g_free(p);
		return;
	}
	p->open = 2;
	g_hash_table_add(p->proxy->pairs, p);
	splice(p, 0);
	splice(p, 1);
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *c,
			    GObject *source, gpointer data)
{
	struct proxy *p = data;
	struct pair *pair = g_new0(struct pair, 1);
	GSocketClient *client;

	pair->proxy = p;
	pair->sides[0] = g_object_ref(c);
	client = g_socket_client_new();
	g_socket_client_set_enable_proxy(client, FALSE);
	g_socket_client_connect_to_host_async(client, p->target, 0, NULL,
					      on_connected, pair);
	return TRUE;
}

static void listen_at(struct proxy *p)
{
	GSocketAddress *a =
		g_inet_socket_address_new_from_string("127.0.0.1", p->port);
	GSocketAddress *found = NULL;
	GError *error = NULL;

	p->service = g_socket_service_new();
	if (!g_socket_listener_add_address(
		    G_SOCKET_LISTENER(p->service), a, G_SOCKET_TYPE_STREAM,
		    G_SOCKET_PROTOCOL_TCP, NULL, &found, &error)) {
		fprintf(stderr, "proxy: %s\n", error->message);
		exit(2);
	}
	p->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(found));
	g_signal_connect(p->service, "incoming", G_CALLBACK(on_incoming), p);
	g_object_unref(found);
	g_object_unref(a);
}

struct proxy *proxy_new(const char *target)
{
	struct proxy *p = g_new0(struct proxy, 1);

	p->target = g_strdup(target);
	p->pairs = g_hash_table_new(NULL, NULL);
	listen_at(p);
	p->address = g_strdup_printf("127.0.0.1:%u", p->port);
	return p;
}

const char *proxy_address(const struct proxy *p)
{
	return p->address;
}

void proxy_refuse(struct proxy *p, gboolean is_refusing)
{
	if (is_refusing == !p->service)
		return;
	if (is_refusing) {
		g_socket_service_stop(p->service);
		g_socket_listener_close(G_SOCKET_LISTENER(p->service));
		g_clear_object(&p->service);
	} else {
		listen_at(p);
	}
}

void proxy_cut(struct proxy *p)
{
	GHashTableIter iter;
	gpointer pair;

	proxy_refuse(p, TRUE);
	g_hash_table_iter_init(&iter, p->pairs);
	while (g_hash_table_iter_next(&iter, &pair, NULL))
		shut_down(pair);
}
