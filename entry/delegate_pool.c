#include "entry/delegate_pool.h"

#include <gio/gio.h>
#include <math.h>

#include "base/json_member.h"
#include "base/log.h"
#include "base/util.h"
#include "entry/delegate_message.h"
#include "entry/delegate_row.h"
#include "entry/table_feed.h"
#include "link/link_connection.h"

/* Long-poll timeout: the store answers by then even without changes. */
#define FEED_WAIT_MS 5000
#define CONNECT_TIMEOUT_S 2
/* How long a failed delegate is avoided, and a worker whose delegated call
 * failed is called directly: the length of a short fault. */
#define AVOID_MS 3000
/* Time that delegation may add to a call's own timeout. */
#define DELEGATE_DELAY_MS 200
/* Interval of the check for overdue calls. */
#define OVERDUE_CHECK_MS 100
/* Limits of the time from the first call until the table of delegates is read,
 * and from then until a delegate is connected. */
#define READ_ROWS_MS 1000
#define FIRST_CONNECT_MS 300
/* Largest share by which two VMs' clocks may differ in their rates. */
#define MAX_CLOCK_DRIFT 0.03
/* The row of a delegate that stays unreachable for this long is removed; a VM
 * restarts in less time. */
#define REMOVE_ROW_AFTER_MS 60000

struct delegate_link {
	struct delegate_pool *pool;
	char *node;
	char *address;
	char *failure_domain;
	char *token;
	double cpu_share;
	struct link_connection *connection;
	GCancellable *connecting;
	gboolean is_opening; /* connecting, or its clock is not known yet */
	/* Lower bound of its clock minus this VM's, when the sample was taken;
	 * both by util_boot_ms(). */
	int64_t clock_offset_ms;
	int64_t clock_sampled_ms; /* on this VM's clock, 0 without a sample */
	int64_t avoid_until_ms;
	int64_t failing_since_ms; /* first failed connect in a row, or 0 */
	int64_t row_version;	  /* of its row in DELEGATE_TABLE */
};

struct pending_call {
	int64_t number;
	struct delegate_link *delegate;
	char *worker;
	int64_t deadline_ms;
	http_reply_fn on_reply;
	void *data;
};

struct delegate_pool {
	struct delegate_pool_spec spec;
	struct platform *platform;
	char *node;
	struct table_feed *feed;
	GHashTable *delegates; /* node to struct delegate_link */
	GHashTable *pending;   /* number to struct pending_call */
	/* Worker id to the time in ms until which it is called directly. */
	GHashTable *direct_until;
	int64_t last_number;
	gboolean is_read; /* the table has been read, or that took too long */
	int64_t wait_until_ms; /* end of the wait for is_read, then for
				  connections */
	guint opening;	       /* delegates with is_opening set */
	GSocketClient *client;
	struct link_poll *poll;
	struct link_traffic traffic;
	guint tick;
};

static void log_delegate(const struct delegate_link *d, const char *event,
			 const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "delegate", d->node);
	log_str(&line, "address", d->address);
	if (reason)
		log_str(&line, "reason", reason);
	log_end(&line);
}

static void pending_call_free(gpointer data)
{
	struct pending_call *c = data;

	g_free(c->worker);
	g_free(c);
}

/* Ends a call; after a failure its worker is called directly for a while. */
static void complete_call(struct delegate_pool *p, struct pending_call *c,
			  const struct http_reply *reply)
{
	g_hash_table_steal(p->pending, &c->number);
	if (reply->status != STATUS_OK) {
		int64_t *until_ms = g_new(int64_t, 1);

		*until_ms = util_monotonic_ms() + AVOID_MS;
		g_hash_table_replace(p->direct_until, g_strdup(c->worker),
				     until_ms);
	}
	c->on_reply(reply, c->data);
	pending_call_free(c);
}

/*
 * Ends the calls of a delegate, or of all if it is NULL, whose deadline is not
 * after @deadline_ms. Each ends with STATUS_UNKNOWN.
 */
static void finish_unanswered(struct delegate_pool *p,
			      const struct delegate_link *d,
			      int64_t deadline_ms)
{
	const struct http_reply unknown = { .status = STATUS_UNKNOWN };
	GPtrArray *ended = g_ptr_array_new();
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, p->pending);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct pending_call *c = item;

		if ((!d || c->delegate == d) && c->deadline_ms <= deadline_ms)
			g_ptr_array_add(ended, c);
	}
	for (guint i = 0; i < ended->len; i++) {
		struct pending_call *c = ended->pdata[i];

		c->delegate->avoid_until_ms = util_monotonic_ms() + AVOID_MS;
		complete_call(p, c, &unknown);
	}
	g_ptr_array_unref(ended);
}

/* Returns TRUE while workers wait for their delegates to be connected. */
static gboolean is_connecting(const struct delegate_pool *p, int64_t now_ms)
{
	return p->is_read && p->opening && now_ms < p->wait_until_ms;
}

static void end_opening(struct delegate_link *d)
{
	if (!d->is_opening)
		return;
	d->is_opening = FALSE;
	d->pool->opening--;
}

static void disconnect(struct delegate_link *d)
{
	if (d->connecting)
		g_cancellable_cancel(d->connecting);
	g_clear_object(&d->connecting);
	end_opening(d);
	d->clock_sampled_ms = 0;
	g_clear_pointer(&d->connection, link_connection_close);
	finish_unanswered(d->pool, d, INT64_MAX);
}

static void delegate_link_free(gpointer data)
{
	struct delegate_link *d = data;

	disconnect(d);
	g_free(d->node);
	g_free(d->address);
	g_free(d->failure_domain);
	g_free(d->token);
	g_free(d);
}

/* Decodes a status. Any other than the known ones stands for a call that may
 * have taken effect. */
static enum status decode_status(const char *name)
{
	static const enum status known[] = { STATUS_OK, STATUS_UNAVAILABLE };

	for (guint i = 0; i < G_N_ELEMENTS(known); i++) {
		if (g_strcmp0(name, status_name(known[i])) == 0)
			return known[i];
	}
	return STATUS_UNKNOWN;
}

/*
 * Returns a lower bound of a delegate's clock minus this VM's. A sample is a
 * lower bound of the difference, as the message was on its way for a while;
 * clocks of different rates lower it further with time.
 */
static int64_t clock_offset_ms(const struct delegate_link *d, int64_t now_ms)
{
	int64_t age_ms = now_ms - d->clock_sampled_ms;

	return d->clock_offset_ms - (int64_t)(MAX_CLOCK_DRIFT * (double)age_ms);
}

/* Takes the delegate's clock from a message, if that is the better sample. */
static void record_clock(struct delegate_link *d, json_object *message)
{
	int64_t boot_ms = json_member_int(message, "boot_ms");
	int64_t now_ms = util_boot_ms();

	if (!boot_ms || (d->clock_sampled_ms &&
			 boot_ms - now_ms < clock_offset_ms(d, now_ms)))
		return;
	d->clock_offset_ms = boot_ms - now_ms;
	d->clock_sampled_ms = now_ms;
}

/* The delegate has accepted this holder and can be used from now on. */
static void handle_clock(struct delegate_link *d, json_object *message)
{
	record_clock(d, message);
	if (!d->is_opening || !d->clock_sampled_ms)
		return;
	end_opening(d);
	log_delegate(d, "delegate_reached", NULL);
	d->pool->spec.on_ready(d->pool->spec.data);
}

static void handle_reply(struct delegate_link *d, json_object *message)
{
	int64_t number = json_member_int(message, "number");
	struct pending_call *c = g_hash_table_lookup(d->pool->pending, &number);
	struct http_reply reply = {
		.status = decode_status(json_member_text(message, "status")),
		.code = (guint)json_member_int(message, "code"),
		.body = json_member(message, "body"),
		.was_resent = json_object_get_boolean(
			json_member(message, "was_resent")),
		.is_expired = json_object_get_boolean(
			json_member(message, "is_expired")),
	};

	record_clock(d, message);
	if (c && c->delegate == d)
		complete_call(d->pool, c, &reply);
}

static void on_frame(uint8_t type, json_object *body, void *data)
{
	if (type == DELEGATE_MESSAGE_REPLY)
		handle_reply(data, body);
	else if (type == DELEGATE_MESSAGE_CLOCK)
		handle_clock(data, body);
}

static void on_closed(void *data)
{
	struct delegate_link *d = data;

	d->connection = NULL;
	d->avoid_until_ms = util_monotonic_ms() + AVOID_MS;
	log_delegate(d, "delegate_lost", "connection closed");
	disconnect(d);
}

static void send_hello(struct delegate_link *d)
{
	json_object *body = json_object_new_object();

	json_object_object_add(body, "token", json_object_new_string(d->token));
	link_connection_send(d->connection, DELEGATE_MESSAGE_HELLO, body);
	json_object_put(body);
}

static void remove_row(struct delegate_link *d)
{
	struct table_write removal = {
		.table = DELEGATE_TABLE,
		.key = d->node,
		.expected_version = d->row_version,
	};

	log_delegate(d, "delegate_removed", "unreachable for too long");
	platform_commit(d->pool->platform, &removal, 1, NULL, NULL);
}

/*
 * Avoids a delegate for a while, and removes its row if it stays unreachable:
 * the VM may be partitioned only for now, or gone for good.
 */
static void record_unreachable(struct delegate_link *d, const char *reason)
{
	int64_t now_ms = util_monotonic_ms();

	d->avoid_until_ms = now_ms + AVOID_MS;
	log_delegate(d, "delegate_not_reached", reason);
	if (!d->failing_since_ms)
		d->failing_since_ms = now_ms;
	else if (now_ms - d->failing_since_ms > REMOVE_ROW_AFTER_MS)
		remove_row(d);
}

static void on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
	GError *error = NULL;
	GSocketConnection *stream = g_socket_client_connect_to_host_finish(
		G_SOCKET_CLIENT(source), result, &error);
	struct delegate_link *d = data;

	/* Cancelled by disconnect(); the delegate_link may be freed by now. */
	if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED)) {
		g_error_free(error);
		return;
	}
	g_clear_object(&d->connecting);
	if (!stream) {
		end_opening(d);
		record_unreachable(d, error->message);
		d->pool->spec.on_ready(d->pool->spec.data);
		g_error_free(error);
		return;
	}
	d->connection =
		link_connection_new(stream, d->pool->poll, &d->pool->traffic,
				    on_frame, on_closed, d);
	d->failing_since_ms = 0;
	send_hello(d);
	g_object_unref(stream);
}

static void delegate_link_connect(struct delegate_link *d)
{
	d->connecting = g_cancellable_new();
	d->is_opening = TRUE;
	d->pool->opening++;
	g_socket_client_connect_to_host_async(d->pool->client, d->address, 0,
					      d->connecting, on_connected, d);
}

static void log_unreadable(const char *node)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_ERROR, "delegate_row_unreadable");
	log_str(&line, "delegate", node);
	log_end(&line);
}

static void on_row(void *data, const struct table_row *row, int64_t store_ms)
{
	struct delegate_pool *p = data;
	struct delegate_row vm;
	struct delegate_link *d;

	g_hash_table_remove(p->delegates, row->key);
	if (row->is_deleted || g_str_equal(row->key, p->node))
		return;
	if (!delegate_row_decode(row->value, &vm) || !vm.address || !vm.token) {
		log_unreadable(row->key);
		return;
	}
	d = g_new0(struct delegate_link, 1);
	d->pool = p;
	d->node = g_strdup(row->key);
	d->address = g_strdup(vm.address);
	d->failure_domain = g_strdup(vm.failure_domain);
	d->token = g_strdup(vm.token);
	d->cpu_share = vm.cpu_share;
	d->row_version = row->version;
	g_hash_table_insert(p->delegates, d->node, d);
}

static gboolean on_tick(gpointer data)
{
	struct delegate_pool *p = data;
	int64_t now_ms = util_monotonic_ms();

	finish_unanswered(p, NULL, now_ms);
	if (!p->is_read && now_ms >= p->wait_until_ms) {
		p->is_read = TRUE;
		p->spec.on_ready(p->spec.data);
	}
	return G_SOURCE_CONTINUE;
}

struct delegate_pool *delegate_pool_new(const struct delegate_pool_spec *spec)
{
	struct delegate_pool *p = g_new0(struct delegate_pool, 1);

	p->spec = *spec;
	p->platform = spec->platform;
	p->node = g_strdup(spec->node);
	p->delegates = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     delegate_link_free);
	p->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   pending_call_free);
	p->direct_until =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->client = g_socket_client_new();
	g_socket_client_set_enable_proxy(p->client, FALSE);
	g_socket_client_set_timeout(p->client, CONNECT_TIMEOUT_S);
	p->poll = link_poll_new();
	return p;
}

/* Connects to all delegates once their rows have been read. */
static void on_synced(void *data)
{
	struct delegate_pool *p = data;
	GHashTableIter iter;
	gpointer item;

	if (p->is_read)
		return;
	p->is_read = TRUE;
	p->wait_until_ms = util_monotonic_ms() + FIRST_CONNECT_MS;
	g_hash_table_iter_init(&iter, p->delegates);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct delegate_link *d = item;

		if (!d->connection && !d->is_opening)
			delegate_link_connect(d);
	}
	p->spec.on_ready(p->spec.data);
}

void delegate_pool_start(struct delegate_pool *p)
{
	struct table_feed_spec feed = {
		.platform = p->platform,
		.table = DELEGATE_TABLE,
		.wait_ms = FEED_WAIT_MS,
		.on_row = on_row,
		.on_synced = on_synced,
		.data = p,
	};

	if (p->feed)
		return;
	p->is_read = FALSE;
	p->wait_until_ms = util_monotonic_ms() + READ_ROWS_MS;
	p->feed = table_feed_new(&feed);
	p->tick = g_timeout_add(OVERDUE_CHECK_MS, on_tick, p);
}

void delegate_pool_reset(struct delegate_pool *p)
{
	g_clear_pointer(&p->feed, table_feed_free);
	if (p->tick)
		g_source_remove(p->tick);
	p->tick = 0;
	g_hash_table_remove_all(p->delegates);
	g_hash_table_remove_all(p->direct_until);
}

void delegate_pool_free(struct delegate_pool *p)
{
	if (!p)
		return;
	delegate_pool_reset(p);
	g_hash_table_unref(p->delegates);
	g_hash_table_unref(p->pending);
	g_hash_table_unref(p->direct_until);
	g_object_unref(p->client);
	link_poll_free(p->poll);
	g_free(p->node);
	g_free(p);
}

/*
 * Returns the score of a delegate for a worker; the highest one is selected.
 * Weighted rendezvous hashing: few workers change their delegate when one is
 * added or removed.
 */
static double delegate_score(const struct delegate_link *d, const char *worker)
{
	guint hash = g_str_hash(d->node) * 2654435761u ^ g_str_hash(worker);

	/* Mixes the bits: g_str_hash() of similar ids is similar. */
	hash ^= hash >> 16;
	hash *= 0x45d9f3bu;
	hash ^= hash >> 16;
	return d->cpu_share /
	       -log(((double)hash + 0.5) / ((double)G_MAXUINT + 1));
}

/* Returns the delegate of a worker, connected or not; NULL without one. */
static struct delegate_link *find_delegate(const struct delegate_pool *p,
					   const char *worker,
					   const char *failure_domain,
					   int64_t now_ms)
{
	struct delegate_link *best = NULL;
	double most = 0;
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, p->delegates);
	while (g_hash_table_iter_next(&iter, NULL, &item)) {
		struct delegate_link *d = item;
		double s;

		if (now_ms < d->avoid_until_ms ||
		    g_strcmp0(d->failure_domain, failure_domain) != 0)
			continue;
		s = delegate_score(d, worker);
		if (!best || s > most) {
			best = d;
			most = s;
		}
	}
	return best;
}

/*
 * Returns the delegate of a worker if it can be used, or NULL. If the selected
 * one is not connected yet, starts to connect to it and returns NULL.
 */
static struct delegate_link *pick_delegate(struct delegate_pool *p,
					   const char *worker,
					   const char *failure_domain,
					   int64_t now_ms)
{
	struct delegate_link *best =
		find_delegate(p, worker, failure_domain, now_ms);

	if (!best || (best->connection && !best->is_opening))
		return best;
	if (!best->is_opening)
		delegate_link_connect(best);
	return NULL;
}

static gboolean is_direct(struct delegate_pool *p, const char *worker,
			  int64_t now_ms)
{
	const int64_t *until_ms = g_hash_table_lookup(p->direct_until, worker);

	if (!until_ms)
		return FALSE;
	if (now_ms < *until_ms)
		return TRUE;
	g_hash_table_remove(p->direct_until, worker);
	return FALSE;
}

static json_object *encode_call(const struct delegate_link *d,
				const struct http_call_spec *spec,
				int64_t number)
{
	int64_t boot_ms = util_boot_ms();
	int64_t send_until_ms = boot_ms + clock_offset_ms(d, boot_ms) +
				(spec->send_within_ms ? spec->send_within_ms
						      : spec->timeout_ms);
	json_object *body = json_object_new_object();
	json_object *headers = json_object_new_array();

	for (guint i = 0; spec->headers && spec->headers[i]; i++)
		json_object_array_add(headers,
				      json_object_new_string(spec->headers[i]));
	json_object_object_add(body, "number", json_object_new_int64(number));
	json_object_object_add(body, "method",
			       json_object_new_string(spec->method));
	json_object_object_add(body, "address",
			       json_object_new_string(spec->address));
	json_object_object_add(body, "path",
			       json_object_new_string(spec->path));
	json_object_object_add(body, "headers", headers);
	json_object_object_add(body, "timeout_ms",
			       json_object_new_int64(spec->timeout_ms));
	json_object_object_add(body, "silent_ms",
			       json_object_new_int64(spec->max_silence_ms));
	json_object_object_add(body, "send_until_ms",
			       json_object_new_int64(send_until_ms));
	if (spec->body)
		json_object_object_add(body, "body",
				       json_object_get(spec->body));
	return body;
}

gboolean delegate_pool_may_call(struct delegate_pool *p, const char *worker,
				const char *failure_domain, int64_t now_ms)
{
	const struct delegate_link *d;

	delegate_pool_start(p);
	if (!p->is_read)
		return FALSE;
	if (!is_connecting(p, now_ms))
		return TRUE;
	d = find_delegate(p, worker, failure_domain, now_ms);
	return !d || !d->is_opening;
}

gboolean delegate_pool_send(struct delegate_pool *p, const char *worker,
			    const char *failure_domain,
			    const struct http_call_spec *spec)
{
	int64_t now_ms = util_monotonic_ms();
	struct delegate_link *d;
	struct pending_call *c;
	json_object *body;
	enum status status;

	delegate_pool_start(p);
	if (is_direct(p, worker, now_ms))
		return FALSE;
	d = pick_delegate(p, worker, failure_domain, now_ms);
	if (!d)
		return FALSE;
	body = encode_call(d, spec, p->last_number + 1);
	status = link_connection_send(d->connection, DELEGATE_MESSAGE_CALL,
				      body);
	json_object_put(body);
	if (status != STATUS_OK)
		return FALSE;
	c = g_new0(struct pending_call, 1);
	c->number = ++p->last_number;
	c->delegate = d;
	c->worker = g_strdup(worker);
	c->deadline_ms = now_ms + spec->timeout_ms + DELEGATE_DELAY_MS;
	c->on_reply = spec->on_reply;
	c->data = spec->data;
	g_hash_table_insert(p->pending, &c->number, c);
	return TRUE;
}
