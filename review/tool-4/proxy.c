#include "review/tool-4/proxy.h"

#include <gio/gio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

struct proxy {
	char *address;
	char *target;
	guint16 port;
	GSocketService *service; /* NULL while it refuses */
	proxy_admits admits;	 /* NULL to let all through */
	void *data;
};

/* The two directions of a connection. */
struct pair {
	GSocketConnection *sides[2];
	guint open;
};

extern GPid site_caller(guint16 port);

static void on_spliced(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pair *p = data;

	g_output_stream_splice_finish(G_OUTPUT_STREAM(source), result, NULL);
	/* An end of one direction ends the connection, as HTTP needs both. */
	for (guint i = 0; i < 2; i++)
		g_socket_shutdown(g_socket_connection_get_socket(p->sides[i]),
				  TRUE, TRUE, NULL);
	if (--p->open)
		return;
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
	splice(p, 0);
	splice(p, 1);
}

static guint16 peer_port(GSocketConnection *c)
{
	GSocketAddress *a = g_socket_connection_get_remote_address(c, NULL);
	guint16 port = a ? g_inet_socket_address_get_port(
				   G_INET_SOCKET_ADDRESS(a))
			 : 0;

	g_clear_object(&a);
	return port;
}

static gboolean on_incoming(GSocketService *service, GSocketConnection *c,
			    GObject *source, gpointer data)
{
	struct proxy *p = data;
	struct pair *pair;
	GSocketClient *client;

	if (p->admits && !p->admits(site_caller(peer_port(c)), p->data))
		return TRUE; /* closes it */
	pair = g_new0(struct pair, 1);
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

struct proxy *proxy_new(const char *target, proxy_admits admits, void *data)
{
	struct proxy *p = g_new0(struct proxy, 1);

	p->target = g_strdup(target);
	p->admits = admits;
	p->data = data;
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

/* Returns the inode of the socket with this local port, 0 if there is none. */
static unsigned long socket_inode(guint16 port)
{
	FILE *f = fopen("/proc/self/net/tcp", "r");
	unsigned long found = 0;
	char line[512];

	while (f && !found && fgets(line, sizeof(line), f)) {
		unsigned int local;
		unsigned long inode;

		if (sscanf(line, " %*d: %*8X:%4X %*s %*s %*s %*s %*s %*s %*s %lu",
			   &local, &inode) == 2 &&
		    local == port)
			found = inode;
	}
	if (f)
		fclose(f);
	return found;
}

static gboolean has_socket(GPid pid, unsigned long inode)
{
	char *folder = g_strdup_printf("/proc/%d/fd", pid);
	char *wanted = g_strdup_printf("socket:[%lu]", inode);
	GDir *dir = g_dir_open(folder, 0, NULL);
	gboolean is_found = FALSE;
	const char *name;

	while (dir && !is_found && (name = g_dir_read_name(dir))) {
		char *path = g_strdup_printf("%s/%s", folder, name);
		char link[64] = "";

		if (readlink(path, link, sizeof(link) - 1) > 0)
			is_found = g_str_equal(link, wanted);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
	g_free(wanted);
	g_free(folder);
	return is_found;
}

GPid proxy_owner(guint16 port, const GPid *pids, guint count)
{
	unsigned long inode = socket_inode(port);

	for (guint i = 0; inode && i < count; i++) {
		if (pids[i] && has_socket(pids[i], inode))
			return pids[i];
	}
	return 0;
}
