#include "tests/crowd.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"

#define POLL_MS 10
/* The crowd is done when no client could send anything for so long. */
#define STALL_MS 1500
/* Limit for servers that take bytes without end. */
#define SEND_LIMIT_MS 20000
#define BYTES_PER_KB 1024
#define TCP_TABLE "/proc/net/tcp"

struct client {
	GSocket *socket;
	gsize sent_bytes;
	gboolean is_closed;
};

struct crowd {
	GArray *clients; /* of struct client */
	const struct crowd_message *message;
	const char *pid;
	GHashTable *ports; /* set of the server's ports */
	struct process_usage_peak peak;
};

static void client_clear(gpointer data)
{
	struct client *c = data;

	g_socket_close(c->socket, NULL);
	g_object_unref(c->socket);
}

static GSocket *connect_client(const char *address)
{
	char *host = NULL;
	uint16_t port = 0;
	GSocketAddress *to;
	GSocket *socket;
	GError *error = NULL;

	g_assert_true(util_parse_endpoint(address, &host, &port));
	to = g_inet_socket_address_new_from_string(host, port);
	socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			      G_SOCKET_PROTOCOL_TCP, &error);
	g_assert_no_error(error);
	g_socket_connect(socket, to, NULL, &error);
	g_assert_no_error(error);
	g_socket_set_blocking(socket, FALSE);
	g_object_unref(to);
	g_free(host);
	return socket;
}

/* Sends what the socket takes; returns FALSE if that was nothing. */
static gboolean client_send(const struct crowd *crowd, struct client *c)
{
	const struct crowd_message *m = crowd->message;
	gsize left = m->bytes - c->sent_bytes;
	const GString *part = m->start;
	gsize at = c->sent_bytes;
	GError *error = NULL;
	gssize n;

	if (at >= m->start->len) {
		part = m->block;
		at = (at - m->start->len) % m->block->len;
	}
	n = g_socket_send(c->socket, part->str + at, MIN(left, part->len - at),
			  NULL, &error);
	if (n > 0)
		c->sent_bytes += (gsize)n;
	else if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		c->is_closed = TRUE;
	g_clear_error(&error);
	return n > 0;
}

static gboolean is_sending(const struct crowd *crowd, const struct client *c)
{
	return !c->is_closed && c->sent_bytes < crowd->message->bytes;
}

/* Waits for sockets that can be written; returns TRUE if something was sent. */
static gboolean send_some(struct crowd *crowd)
{
	guint n = crowd->clients->len;
	struct pollfd *fds = g_new0(struct pollfd, n);
	gboolean has_sent = FALSE;

	for (guint i = 0; i < n; i++) {
		const struct client *c =
			&g_array_index(crowd->clients, struct client, i);

		fds[i].fd =
			is_sending(crowd, c) ? g_socket_get_fd(c->socket) : -1;
		fds[i].events = POLLOUT;
	}
	poll(fds, n, POLL_MS);
	for (guint i = 0; i < n; i++) {
		if (fds[i].revents)
			has_sent |= client_send(
				crowd, &g_array_index(crowd->clients,
						      struct client, i));
	}
	g_free(fds);
	return has_sent;
}

static int64_t peak_memory_kb(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/status", pid);
	char *text = NULL;
	const char *line;
	int64_t kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmHWM:");
		kb = line ? strtoll(line + strlen("VmHWM:"), NULL, 10) : 0;
	}
	g_free(text);
	g_free(path);
	return kb;
}

static guint count_descriptors(const char *pid)
{
	char *path = g_strdup_printf("/proc/%s/fd", pid);
	GDir *dir = g_dir_open(path, 0, NULL);
	guint count = 0;

	while (dir && g_dir_read_name(dir))
		count++;
	if (dir)
		g_dir_close(dir);
	g_free(path);
	return count;
}

/* Adds up the queues of all connections of a server's ports, in bytes. */
static int64_t queued_bytes(GHashTable *ports)
{
	FILE *table = fopen(TCP_TABLE, "re");
	unsigned int received;
	unsigned int sent;
	unsigned int port;
	int64_t bytes = 0;
	char line[256];

	while (table && fgets(line, sizeof(line), table)) {
		/* local and remote address, state, both queues, all in hex */
		if (sscanf(line, "%*u: %*8X:%x %*8X:%*x %*x %x:%x", &port,
			   &sent, &received) == 3 &&
		    g_hash_table_contains(ports, GUINT_TO_POINTER(port)))
			bytes += (int64_t)sent + received;
	}
	if (table)
		fclose(table);
	return bytes;
}

static void record_usage(struct crowd *crowd)
{
	struct process_usage_peak *peak = &crowd->peak;

	peak->memory_kb = MAX(peak->memory_kb, peak_memory_kb(crowd->pid));
	peak->descriptors =
		MAX(peak->descriptors, count_descriptors(crowd->pid));
	peak->queued_kb =
		MAX(peak->queued_kb, queued_bytes(crowd->ports) / BYTES_PER_KB);
}

static void connect_all(struct crowd *crowd, const char *const *addresses,
			guint connections)
{
	for (const char *const *a = addresses; *a; a++) {
		const char *port = strchr(*a, ':') + 1;

		g_hash_table_add(crowd->ports,
				 GUINT_TO_POINTER(strtoul(port, NULL, 10)));
		for (guint i = 0; i < connections; i++) {
			struct client c = { .socket = connect_client(*a) };

			g_array_append_val(crowd->clients, c);
		}
		record_usage(crowd);
	}
}

static void send_all(struct crowd *crowd)
{
	int64_t began_ms = util_monotonic_ms();
	int64_t sent_ms = began_ms;
	int64_t now_ms = began_ms;

	while (now_ms < sent_ms + STALL_MS &&
	       now_ms < began_ms + SEND_LIMIT_MS) {
		gboolean has_sent = send_some(crowd);

		record_usage(crowd);
		now_ms = util_monotonic_ms();
		if (has_sent)
			sent_ms = now_ms;
	}
}

struct process_usage_peak crowd_run(const char *const *addresses,
				    guint connections,
				    const struct crowd_message *message,
				    const struct cluster_process *process)
{
	struct crowd crowd = {
		.clients = g_array_new(FALSE, FALSE, sizeof(struct client)),
		.message = message,
		.pid = g_subprocess_get_identifier(process->subprocess),
		.ports = g_hash_table_new(NULL, NULL),
	};

	g_assert_nonnull(crowd.pid);
	g_array_set_clear_func(crowd.clients, client_clear);
	connect_all(&crowd, addresses, connections);
	send_all(&crowd);
	g_array_unref(crowd.clients);
	g_hash_table_unref(crowd.ports);
	return crowd.peak;
}
