#include "entry/forwarder.h"

#include <libsoup/soup.h>

#include "base/log.h"
#include "base/util.h"
#include "entry/config_feed.h"
#include "entry/delegate.h"
#include "entry/delegate_row.h"
#include "entry/entry_store.h"
#include "entry/peer_list.h"
#include "platform/wire_frontend.h"

#define MAX_CALLS 500
#define MAX_CONNECTIONS_PER_PEER 4
/* Delay of the first scan of the table; VMs that start together register
 * within the first second. */
#define FIRST_SCAN_MS 2000
/* Interval of scans: outages are bridged with peers known from before. */
#define SCAN_INTERVAL_MS 20000
#define SCAN_RETRY_MS 2000
/* Scans of different VMs are spread by up to this share of their delay. */
#define SCAN_JITTER 0.5
#define PAGE_ROWS 500
/* A peer's own calls to a slow store take up to about half of this. */
#define ATTEMPT_TIMEOUT_MS 800
#define MIN_ATTEMPT_MS 100
#define MAX_ATTEMPTS 3
/* How long a peer that did not serve a request is avoided. */
#define AVOID_MS 3000
/* After a request that no peer served, none is forwarded for this long, as the
 * store is probably away for all; doubles with each further one. */
#define FIRST_PAUSE_MS 500
#define MAX_PAUSE_MS 4000

struct forwarder {
	struct service base;
	struct kernel *kernel;
	struct platform *platform;
	struct http_client *client;
	struct peer_list peers;
	char *next_key;	      /* start of the next page, NULL for the first */
	json_object *own_row; /* as the current scan has read it, or NULL */
	guint known_peers;    /* as last logged */
	guint timer;
	int64_t seen_version; /* see forwarder_seen_version() */
	int64_t paused_until_ms;
	int64_t pause_ms; /* length of the next pause */
	GRand *rng;
	GHashTable *forwards; /* set of struct forward in flight */
	struct counter *forwarded;
	struct counter *unserved;
};

/* A request that is being forwarded. */
struct forward {
	struct forwarder *forwarder;
	const struct http_request *request;
	const char *method;
	char *path;
	json_object *body;
	int64_t end_ms;
	GPtrArray *tried;      /* nodes, of char * */
	gboolean may_have_run; /* an attempt had no definite answer */
	forward_fn fn;
	void *data;
};

static void forward_free(gpointer data)
{
	struct forward *f = data;

	g_ptr_array_unref(f->tried);
	json_object_put(f->body);
	g_free(f->path);
	g_free(f);
}

static void finish(struct forward *f, const struct http_reply *reply)
{
	struct forwarder *s = f->forwarder;
	struct log_line line;

	if (reply) {
		s->pause_ms = FIRST_PAUSE_MS;
	} else {
		s->paused_until_ms = util_monotonic_ms() + s->pause_ms;
		s->pause_ms = MIN(2 * s->pause_ms, MAX_PAUSE_MS);
		counter_add(s->unserved, 1);
	}
	log_begin(&line, LOG_LEVEL_INFO, "request_forwarded");
	log_str(&line, "path", f->path);
	log_int(&line, "attempts", f->tried->len);
	log_str(&line, "peer",
		f->tried->len ? f->tried->pdata[f->tried->len - 1] : NULL);
	log_int(&line, "code", reply ? reply->code : 0);
	log_int(&line, "may_have_run", f->may_have_run);
	log_end(&line);
	g_hash_table_steal(s->forwards, f);
	f->fn(reply, f->may_have_run, f->data);
	forward_free(f);
}

/* Returns TRUE if a peer has decided on the request; otherwise another peer may
 * serve it. */
static gboolean is_definite(const struct http_reply *reply)
{
	return reply->status == STATUS_OK &&
	       reply->code != HTTP_TOO_MANY_REQUESTS &&
	       reply->code < SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

/* Returns TRUE if an attempt certainly had no effect. */
static gboolean is_without_effect(const struct http_reply *reply)
{
	if (reply->status == STATUS_UNAVAILABLE)
		return TRUE;
	return reply->status == STATUS_OK && !reply->was_resent &&
	       (reply->code == HTTP_TOO_MANY_REQUESTS ||
		reply->code == SOUP_STATUS_SERVICE_UNAVAILABLE);
}

static gboolean attempt(struct forward *f);

static void on_reply(const struct http_reply *reply, void *data)
{
	struct forward *f = data;

	if (is_definite(reply)) {
		/* The peer has decided on the last copy that it received. */
		f->may_have_run |= reply->was_resent;
		if (reply->header)
			f->forwarder->seen_version =
				MAX(f->forwarder->seen_version,
				    g_ascii_strtoll(reply->header, NULL, 10));
		finish(f, reply);
		return;
	}
	peer_list_avoid(&f->forwarder->peers,
			f->tried->pdata[f->tried->len - 1],
			util_monotonic_ms() + AVOID_MS);
	f->may_have_run |= !is_without_effect(reply);
	if (!attempt(f))
		finish(f, NULL);
}

/* Returns the least configuration version that may decide on a request. */
static int64_t least_version(const struct forwarder *s)
{
	const struct fleet_config *config = config_feed_config(s->kernel);

	return MAX(s->seen_version, config ? config->version : 0);
}

/* Sends the request to the next peer; FALSE if there is none or no time. */
static gboolean attempt(struct forward *f)
{
	struct forwarder *s = f->forwarder;
	const char *names[] = { "Host", WIRE_HEADER_AUTHORIZATION,
				WIRE_HEADER_DEADLINE };
	const char *headers[2 * G_N_ELEMENTS(names) + 3] = { NULL };
	char version[32];
	int64_t now_ms = util_monotonic_ms();
	struct http_call_spec spec = {
		.method = f->method,
		.path = f->path,
		.body = f->body,
		.timeout_ms = MIN(f->end_ms - now_ms, ATTEMPT_TIMEOUT_MS),
		.may_reuse = TRUE, /* a job's id makes its calls idempotent */
		/* Rather asks the next peer than the same one twice. */
		.max_silence_ms = MIN(f->end_ms - now_ms, ATTEMPT_TIMEOUT_MS),
		.headers = headers,
		.wanted_header = FORWARD_VERSION_HEADER,
		.on_reply = on_reply,
		.data = f,
	};
	const struct peer *peer;
	guint n = 0;

	if (f->tried->len >= MAX_ATTEMPTS || spec.timeout_ms < MIN_ATTEMPT_MS)
		return FALSE;
	peer = peer_list_pick(&s->peers, f->tried, now_ms, s->rng);
	if (!peer)
		return FALSE;
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		const char *value = http_request_header(f->request, names[i]);

		if (!value)
			continue;
		headers[n++] = i ? names[i] : FORWARD_HOST_HEADER;
		headers[n++] = value;
	}
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   least_version(s));
	headers[n++] = FORWARD_VERSION_HEADER;
	headers[n++] = version;
	g_ptr_array_add(f->tried, g_strdup(peer->node));
	spec.address = peer->address;
	http_client_send(s->client, &spec);
	return TRUE;
}

static struct forwarder *find(const struct kernel *k)
{
	return (struct forwarder *)kernel_find(k, FORWARDER_SERVICE);
}

int64_t forwarder_seen_version(const struct kernel *k)
{
	return find(k)->seen_version;
}

gboolean forwarder_send(const struct kernel *k,
			const struct http_request *request, const char *method,
			const char *path, json_object *body, int64_t timeout_ms,
			forward_fn fn, void *data)
{
	struct forwarder *s = find(k);
	int64_t now_ms = util_monotonic_ms();
	struct forward *f;

	if (now_ms < s->paused_until_ms)
		return FALSE;
	f = g_new0(struct forward, 1);
	f->forwarder = s;
	f->request = request;
	f->method = method;
	f->path = g_strdup(path);
	f->body = json_object_get(body);
	f->end_ms = now_ms + timeout_ms;
	f->tried = g_ptr_array_new_with_free_func(g_free);
	f->fn = fn;
	f->data = data;
	if (!attempt(f)) {
		forward_free(f);
		return FALSE;
	}
	g_hash_table_add(s->forwards, f);
	counter_add(s->forwarded, 1);
	return TRUE;
}

static gboolean on_scan(gpointer data);

static void scan_after(struct forwarder *s, int64_t delay_ms)
{
	double jitter = g_rand_double_range(s->rng, 1 - SCAN_JITTER, 1);

	s->timer =
		g_timeout_add((guint)((double)delay_ms * jitter), on_scan, s);
}

static void read_page(struct forwarder *s);

static void log_peers(struct forwarder *s)
{
	guint count = g_hash_table_size(s->peers.peers);
	struct log_line line;

	if (count == s->known_peers)
		return;
	s->known_peers = count;
	log_begin(&line, LOG_LEVEL_INFO, "peers_known");
	log_int(&line, "count", count);
	log_end(&line);
}

static void set_own_row(struct forwarder *s, json_object *row)
{
	json_object_put(s->own_row);
	s->own_row = json_object_get(row);
}

static void on_page(const struct platform_result *result, void *data)
{
	struct forwarder *s = data;

	if (result->status != STATUS_OK) {
		g_clear_pointer(&s->next_key, g_free);
		scan_after(s, SCAN_RETRY_MS);
		return;
	}
	for (guint i = 0; i < result->row_count; i++) {
		const struct table_row *row = &result->rows[i];

		if (g_str_equal(row->key, s->peers.self))
			set_own_row(s, row->value);
		else
			peer_list_add(&s->peers, row->key, row->value);
	}
	g_free(s->next_key);
	s->next_key = platform_next_page_key(result);
	if (s->next_key) {
		read_page(s);
		return;
	}
	peer_list_end_scan(&s->peers);
	log_peers(s);
	delegate_check_row(s->kernel, s->own_row);
	scan_after(s, g_hash_table_size(s->peers.peers) ? SCAN_INTERVAL_MS
							: SCAN_RETRY_MS);
}

static void read_page(struct forwarder *s)
{
	const struct table_page_query query = {
		.table = DELEGATE_TABLE,
		.from_key = s->next_key,
		.max_rows = PAGE_ROWS,
	};

	platform_page(s->platform, &query, on_page, s);
}

static gboolean on_scan(gpointer data)
{
	struct forwarder *s = data;

	s->timer = 0;
	set_own_row(s, NULL);
	peer_list_begin_scan(&s->peers);
	read_page(s);
	return G_SOURCE_REMOVE;
}

static enum status forwarder_start(struct service *base, struct kernel *k)
{
	struct forwarder *s = (struct forwarder *)base;
	const struct entry_settings *settings = entry_settings_of(k);

	s->kernel = k;
	s->platform = entry_platform_of(k);
	peer_list_init(&s->peers, settings->node, settings->failure_domain);
	s->forwarded = counters_counter(
		kernel_counters(k), "cs_forwarded_requests_total",
		"Requests handed over to another entry VM");
	s->unserved = counters_counter(
		kernel_counters(k), "cs_forwards_unserved_total",
		"Forwarded requests that no entry VM served");
	scan_after(s, FIRST_SCAN_MS);
	return STATUS_OK;
}

static void forwarder_free(struct service *base)
{
	struct forwarder *s = (struct forwarder *)base;

	if (s->timer)
		g_source_remove(s->timer);
	if (s->platform) {
		platform_forget(s->platform, s);
		peer_list_clear(&s->peers);
	}
	/* Its calls end without their callbacks, which would use a forward. */
	http_client_free(s->client);
	g_hash_table_unref(s->forwards);
	g_rand_free(s->rng);
	json_object_put(s->own_row);
	g_free(s->next_key);
	g_free(s);
}

static const struct service_class forwarder_class = {
	.name = FORWARDER_SERVICE,
	.start = forwarder_start,
	.free = forwarder_free,
};

struct service *forwarder_new(void)
{
	struct forwarder *s = g_new0(struct forwarder, 1);

	s->base.class = &forwarder_class;
	s->client = http_client_new(MAX_CALLS, MAX_CONNECTIONS_PER_PEER);
	s->rng = g_rand_new();
	s->pause_ms = FIRST_PAUSE_MS;
	s->forwards = g_hash_table_new_full(NULL, NULL, forward_free, NULL);
	return &s->base;
}
