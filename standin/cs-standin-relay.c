/**
 * @file
 * TCP relay that injects network faults between two processes: silence, cuts in
 * one direction, refused connections and delays. A silenced direction is not
 * read, so its bytes are delivered once the mode is reset, as TCP does after a
 * partition.
 */
#include <gio/gio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "standin/common/standin.h"

#define MAX_BODY_BYTES ((gsize)1 << 20)
#define BUFFER_BYTES 16384
#define MAX_DELAY_MS 600000
#define MAX_ROUTES 1000
/* Connections that wait to be accepted; an entry VM opens more at once than
 * GLib's limit of 10. */
#define LISTEN_BACKLOG 1024
#define MAX_ONLY_BYTES 64
#define ALL_ROUTES INT64_C(-1)

enum mode {
	MODE_PASS,
	MODE_SILENT,   /* both directions are silenced */
	MODE_REFUSE,   /* open and new connections are closed */
	MODE_CUT_UP,   /* client to target is silenced */
	MODE_CUT_DOWN, /* target to client is silenced */
};

static const char *const mode_names[] = { "pass",   "silent",	"refuse",
					  "cut_up", "cut_down", NULL };

enum direction {
	DIRECTION_UP,	/* client to target */
	DIRECTION_DOWN, /* target to client */
	DIRECTION_COUNT,
};

struct route {
	char *host;    /* of the target */
	uint16_t port; /* of the target */
	uint16_t listen_port;
	GSocketService *service;
	int64_t mode;
	char *only;	  /* limits silencing modes to connections whose first
			   * data contains this text; NULL for all */
	int64_t delay_ms; /* per read */
	GPtrArray *links; /* of struct link */
};

struct link;

/* Copies bytes in one direction of a link. */
struct pump {
	struct link *link;
	enum direction direction;
	GSocketConnection *from;
	GSocketConnection *to;
	char buffer[BUFFER_BYTES];
	gsize len;	   /* bytes read and not yet written */
	gboolean is_ready; /* data was read and its delay is over */
	gboolean is_busy;  /* a read, write or delay is pending */
	gboolean is_ended; /* end of stream was passed on */
};

/* A relayed connection: the client and the target side. */
struct link {
	struct route *route;
	GSocketConnection *client;
	GSocketConnection *target;
	struct pump pumps[DIRECTION_COUNT];
	GString *first_bytes; /* from the client's first read, NULL before */
	gboolean is_silenced; /* by silence_open, until it closes */
	gboolean is_closed;
	guint refs; /* pending operations; freed at zero once closed */
};

static GPtrArray *routes;

static void pump_step(struct pump *p);

static void link_unref(struct link *link)
{
	if (--link->refs || !link->is_closed)
		return;
	g_clear_object(&link->client);
	g_clear_object(&link->target);
	if (link->first_bytes)
		g_string_free(link->first_bytes, TRUE);
	g_free(link);
}

static void link_close(struct link *link)
{
	if (link->is_closed)
		return;
	link->is_closed = TRUE;
	g_ptr_array_remove_fast(link->route->links, link);
	g_io_stream_close(G_IO_STREAM(link->client), NULL, NULL);
	if (link->target)
		g_io_stream_close(G_IO_STREAM(link->target), NULL, NULL);
}

/* Like strstr(), but the bytes may contain NULs. */
static gboolean has_text(const GString *bytes, const char *text)
{
	gsize len = strlen(text);

	for (gsize i = 0; i + len <= bytes->len; i++) {
		if (memcmp(bytes->str + i, text, len) == 0)
			return TRUE;
	}
	return FALSE;
}

/* Returns TRUE if the mode of the route applies to a link. */
static gboolean mode_applies(const struct link *link)
{
	const char *only = link->route->only;

	return !only ||
	       (link->first_bytes && has_text(link->first_bytes, only));
}

static gboolean is_paused(const struct pump *p)
{
	int64_t mode = p->link->route->mode;

	if (p->link->is_silenced)
		return TRUE;
	if (!mode_applies(p->link))
		return FALSE;
	if (mode == MODE_SILENT)
		return TRUE;
	return mode ==
	       (p->direction == DIRECTION_UP ? MODE_CUT_UP : MODE_CUT_DOWN);
}

/* Passes end of stream on; closes the link once both directions ended. */
static void pump_end(struct pump *p)
{
	GSocket *to = g_socket_connection_get_socket(p->to);
	struct pump *other = &p->link->pumps[!p->direction];

	p->is_ended = TRUE;
	g_socket_shutdown(to, FALSE, TRUE, NULL);
	if (other->is_ended)
		link_close(p->link);
}

static gboolean on_delay_over(gpointer data)
{
	struct pump *p = data;

	p->is_busy = FALSE;
	p->is_ready = TRUE;
	pump_step(p);
	link_unref(p->link);
	return G_SOURCE_REMOVE;
}

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pump *p = data;
	gssize len = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						NULL);

	p->is_busy = FALSE;
	if (len > 0 && p->direction == DIRECTION_UP && !p->link->first_bytes)
		p->link->first_bytes = g_string_new_len(p->buffer, len);
	if (len < 0) {
		link_close(p->link);
	} else if (p->link->route->delay_ms && len > 0) {
		p->len = (gsize)len;
		p->is_busy = TRUE;
		g_timeout_add(p->link->route->delay_ms, on_delay_over, p);
		return;
	}
	p->len = (gsize)MAX(len, 0);
	p->is_ready = TRUE;
	pump_step(p);
	link_unref(p->link);
}

static void on_written(GObject *source, GAsyncResult *result, gpointer data)
{
	struct pump *p = data;

	p->is_busy = FALSE;
	p->is_ready = FALSE;
	p->len = 0;
	if (!g_output_stream_write_all_finish(G_OUTPUT_STREAM(source), result,
					      NULL, NULL))
		link_close(p->link);
	pump_step(p);
	link_unref(p->link);
}

static void pump_write(struct pump *p)
{
	GOutputStream *out = g_io_stream_get_output_stream(G_IO_STREAM(p->to));

	p->is_busy = TRUE;
	p->link->refs++;
	g_output_stream_write_all_async(out, p->buffer, p->len,
					G_PRIORITY_DEFAULT, NULL, on_written,
					p);
}

static void pump_read(struct pump *p)
{
	GInputStream *in = g_io_stream_get_input_stream(G_IO_STREAM(p->from));

	p->is_busy = TRUE;
	p->link->refs++;
	g_input_stream_read_async(in, p->buffer, sizeof(p->buffer),
				  G_PRIORITY_DEFAULT, NULL, on_read, p);
}

/* Starts the next read or write, or ends the direction. */
static void pump_step(struct pump *p)
{
	if (p->link->is_closed || p->is_busy || p->is_ended || is_paused(p))
		return;
	if (!p->is_ready)
		pump_read(p);
	else if (p->len)
		pump_write(p);
	else
		pump_end(p);
}

static void link_step(struct link *link)
{
	link->refs++;
	for (guint i = 0; i < DIRECTION_COUNT; i++)
		pump_step(&link->pumps[i]);
	link_unref(link);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	struct link *link = data;
	GSocketConnection *client = link->client;

	link->target = g_socket_client_connect_finish(G_SOCKET_CLIENT(source),
						      result, NULL);
	if (!link->target) {
		link_close(link);
		link_unref(link);
		return;
	}
	if (link->is_closed) {
		g_io_stream_close(G_IO_STREAM(link->target), NULL, NULL);
		link_unref(link);
		return;
	}
	for (guint i = 0; i < DIRECTION_COUNT; i++) {
		struct pump *p = &link->pumps[i];

		p->link = link;
		p->direction = (enum direction)i;
		p->from = i == DIRECTION_UP ? client : link->target;
		p->to = i == DIRECTION_UP ? link->target : client;
	}
	link_step(link);
	link_unref(link);
}

static gboolean on_incoming(GSocketService *service,
			    GSocketConnection *connection, GObject *source,
			    gpointer data)
{
	struct route *r = data;
	GSocketClient *client;
	struct link *link;

	if (r->mode == MODE_REFUSE) {
		g_io_stream_close(G_IO_STREAM(connection), NULL, NULL);
		return TRUE;
	}
	link = g_new0(struct link, 1);
	link->route = r;
	link->client = g_object_ref(connection);
	link->refs = 1;
	g_ptr_array_add(r->links, link);
	client = g_socket_client_new();
	g_socket_client_connect_to_host_async(client, r->host, r->port, NULL,
					      on_connected, link);
	g_object_unref(client);
	return TRUE;
}

struct control_body {
	int64_t mode;
	char *only;
	int64_t delay_ms;
	int64_t silence_open;
	int64_t route;
};

static const struct field_spec control_fields[] = {
	STANDIN_ENUM(mode, mode_names),
	{ .name = "only",
	  .type = FIELD_STRING,
	  .offset = offsetof(struct control_body, only),
	  .min = 1,
	  .max = MAX_ONLY_BYTES },
	STANDIN_INT(delay_ms, MAX_DELAY_MS),
	{ .name = "silence_open",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct control_body, silence_open) },
	{ .name = "route",
	  .type = FIELD_INT,
	  .offset = offsetof(struct control_body, route),
	  .max = MAX_ROUTES,
	  .fallback = ALL_ROUTES },
	{ 0 },
};

static const struct schema control_schema = { sizeof(struct control_body),
					      control_fields };

static void change_route(struct route *r, const struct control_body *body)
{
	if (body->mode != STANDIN_UNSET) {
		r->mode = body->mode;
		g_free(r->only);
		r->only = g_strdup(body->only);
	}
	standin_set_if_given(&r->delay_ms, body->delay_ms);
	for (guint i = r->links->len; i > 0; i--) {
		struct link *link = r->links->pdata[i - 1];

		if (r->mode == MODE_REFUSE) {
			link->refs++;
			link_close(link);
			link_unref(link);
			continue;
		}
		if (body->silence_open)
			link->is_silenced = TRUE;
		else if (link->target)
			link_step(link);
	}
}

static void handle_control(struct http_request *r, void *data)
{
	struct control_body body = { 0 };

	if (!standin_decode(r, &control_schema, &body)) {
		schema_clear(&control_schema, &body);
		return;
	}
	for (guint i = 0; i < routes->len; i++) {
		if (body.route == ALL_ROUTES || body.route == i)
			change_route(routes->pdata[i], &body);
	}
	schema_clear(&control_schema, &body);
	standin_reply_ok(r);
}

static void handle_state(struct http_request *r, void *data)
{
	json_object *body = json_object_new_object();
	json_object *items = json_object_new_array();

	for (guint i = 0; i < routes->len; i++) {
		const struct route *route = routes->pdata[i];
		json_object *item = json_object_new_object();

		json_object_object_add(
			item, "mode",
			json_object_new_string(mode_names[route->mode]));
		json_object_object_add(
			item, "connections",
			json_object_new_int((int)route->links->len));
		json_object_array_add(items, item);
	}
	json_object_object_add(body, "routes", items);
	http_request_reply(r, SOUP_STATUS_OK, body);
}

static gboolean route_listen(struct route *r, const char *host, uint16_t port)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string(host, port);
	GSocketAddress *bound = NULL;
	GInetSocketAddress *inet;

	r->service = g_socket_service_new();
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(r->service),
				      LISTEN_BACKLOG);
	if (!address || !g_socket_listener_add_address(
				G_SOCKET_LISTENER(r->service), address,
				G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
				NULL, &bound, NULL))
		return FALSE;
	inet = G_INET_SOCKET_ADDRESS(bound);
	r->listen_port = g_inet_socket_address_get_port(inet);
	g_signal_connect(r->service, "incoming", G_CALLBACK(on_incoming), r);
	printf("listening %s:%u\n", host, r->listen_port);
	fflush(stdout);
	g_object_unref(address);
	g_object_unref(bound);
	return TRUE;
}

/* Adds a route from "LISTEN=TARGET", each an "IP:PORT", and listens. */
static gboolean add_route(const char *text)
{
	char **sides = g_strsplit(text, "=", 2);
	struct route *r = g_new0(struct route, 1);
	char *host = NULL;
	uint16_t port = 0;
	gboolean is_good;

	is_good = sides[0] && sides[1] &&
		  util_parse_endpoint(sides[0], &host, &port) &&
		  util_parse_endpoint(sides[1], &r->host, &r->port);
	r->links = g_ptr_array_new();
	is_good = is_good && route_listen(r, host, port);
	g_ptr_array_add(routes, r);
	if (!is_good)
		fprintf(stderr,
			"route %s: expected IP:PORT=IP:PORT, the first a free "
			"local address\n",
			text);
	g_free(host);
	g_strfreev(sides);
	return is_good;
}

static gboolean listen_control(const char *address)
{
	struct http_server *server = http_server_new(MAX_BODY_BYTES);
	char *host = NULL;
	uint16_t port;

	http_server_add_route(server, "POST", "/control", handle_control, NULL);
	http_server_add_route(server, "GET", "/state", handle_state, NULL);
	if (!util_parse_endpoint(address, &host, &port) ||
	    http_server_listen(server, host, port) != STATUS_OK) {
		fprintf(stderr, "cannot listen on the control address: %s\n",
			status_last_message());
		g_free(host);
		return FALSE;
	}
	printf("control %s:%u\n", host, http_server_port(server));
	fflush(stdout);
	g_free(host);
	return TRUE;
}

int main(int argc, char **argv)
{
	char *control = NULL;
	char **route_texts = NULL;
	gboolean show_version = FALSE;
	const GOptionEntry entries[] = {
		{ "control", 0, 0, G_OPTION_ARG_STRING, &control,
		  "Address of the control interface", "IP:PORT" },
		{ "route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &route_texts,
		  "Listen and target address of a route; may be repeated",
		  "IP:PORT=IP:PORT" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	gboolean is_good;

	g_option_context_set_summary(context, "TCP relay that can cut and "
					      "silence connections.");
	g_option_context_add_main_entries(context, entries, NULL);
	is_good = g_option_context_parse(context, &argc, &argv, &error);
	g_option_context_free(context);
	if (!is_good) {
		fprintf(stderr, "%s\n", error->message);
		return EXIT_FAILURE;
	}
	if (show_version) {
		printf("%s\n", STANDIN_VERSION);
		return EXIT_SUCCESS;
	}
	routes = g_ptr_array_new();
	if (!listen_control(control ? control : "127.0.0.1:0"))
		return EXIT_FAILURE;
	for (char **text = route_texts; text && *text; text++) {
		if (!add_route(*text))
			return EXIT_FAILURE;
	}
	g_main_loop_run(g_main_loop_new(NULL, FALSE));
	return EXIT_SUCCESS;
}
