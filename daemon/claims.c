#include "daemon/claims.h"

#include "base/util.h"
#include "daemon/claim_store.h"

/** Delay before a read, write or peer call is retried. */
#define RETRY_WAIT_MS 50
#define PEER_CALL_TIMEOUT_MS INT64_C(500)
/** How long writing the row is tried after the request was answered. */
#define RECORD_TIMEOUT_MS INT64_C(60000)
/** Larger results are not stored in the claim row. */
#define MAX_RESULT_BYTES 65536

struct claims {
	struct claim_store *store;
	struct http_client *http;
	GHashTable *by_key;	   /**< key to struct driver, owned */
	GHashTable *by_request_id; /**< request id to struct driver */
	struct claims_spec spec;
};

/** Runs the claim state machine of one idempotency key. */
struct driver {
	struct claims *claims;
	char *key;
	struct claim claim;
	GPtrArray *handles; /**< of struct claim_handle; first: leader() */
	struct http_call *peer_call;
	guint timer;
	int64_t deadline_ms;  /**< monotonic clock; no wait extends past it */
	gboolean is_busy;     /**< an asynchronous step is in progress */
	gboolean is_given_up; /**< by claim_handle_give_up() */
	gboolean has_written; /**< a row write was submitted */
	/* The answer, kept for later requests with the same key. */
	gboolean is_answered;
	enum answer_kind answer;
	enum reason reason;
	json_object *result;
};

struct claim_handle {
	struct driver *driver;
	const struct claim_events *events;
	void *data;
	guint late_answer_source; /**< idle source of on_late_answer() */
};

static void run_step(struct driver *d, enum claim_step step);

static void driver_free(gpointer data)
{
	struct driver *d = data;

	claim_store_forget(d->claims->store, d);
	g_hash_table_remove(d->claims->by_request_id, d->claim.own.request_id);
	if (d->peer_call)
		http_call_cancel(d->peer_call);
	if (d->timer)
		g_source_remove(d->timer);
	for (guint i = 0; i < d->handles->len; i++) {
		struct claim_handle *h = g_ptr_array_index(d->handles, i);

		if (h->late_answer_source)
			g_source_remove(h->late_answer_source);
		g_free(h);
	}
	g_ptr_array_unref(d->handles);
	claim_clear(&d->claim);
	json_object_put(d->result);
	g_free(d->key);
	g_free(d);
}

struct claims *claims_new(const struct claims_spec *spec)
{
	struct claims *c = g_new0(struct claims, 1);

	c->spec = *spec;
	c->http = spec->http;
	c->store = claim_store_new(spec->platform, spec->counters);
	c->by_request_id = g_hash_table_new(g_str_hash, g_str_equal);
	c->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  driver_free);
	return c;
}

void claims_free(struct claims *c)
{
	g_hash_table_unref(c->by_key);
	g_hash_table_unref(c->by_request_id);
	claim_store_free(c->store);
	g_free(c);
}

void claims_set_gateways(struct claims *c, uint32_t count)
{
	claim_store_set_gateways(c->store, count);
}

guint claims_pending(const struct claims *c)
{
	return g_hash_table_size(c->by_key);
}

gboolean claims_is_pending(const struct claims *c, const char *request_id)
{
	return g_hash_table_contains(c->by_request_id, request_id);
}

static void driver_end(struct driver *d)
{
	g_hash_table_remove(d->claims->by_key, d->key);
}

static void set_answer(struct driver *d, enum answer_kind kind,
		       enum reason reason, json_object *result)
{
	d->is_answered = TRUE;
	d->answer = kind;
	d->reason = reason;
	d->result = result ? json_object_get(result) : NULL;
}

/* Answers all requests of the key except @except, which may be NULL. */
static void deliver_answer(struct driver *d, const struct claim_handle *except)
{
	GPtrArray *handles = d->handles;

	d->handles = g_ptr_array_new();
	for (guint i = 0; i < handles->len; i++) {
		struct claim_handle *h = g_ptr_array_index(handles, i);

		if (h->late_answer_source)
			g_source_remove(h->late_answer_source);
		if (h != except)
			h->events->on_answer(d->answer, d->reason, d->result,
					     h->data);
		g_free(h);
	}
	g_ptr_array_unref(handles);
}

/* Goes on with writing the row only: the caller has its answer. */
static void begin_background(struct driver *d)
{
	d->claim.is_background = TRUE;
	d->deadline_ms = util_monotonic_ms() + RECORD_TIMEOUT_MS;
}

/* Returns the handle that receives on_ready and on_won, or NULL. */
static struct claim_handle *leader(const struct driver *d)
{
	return d->handles->len ? g_ptr_array_index(d->handles, 0) : NULL;
}

static void on_read(const struct platform_result *result, void *data)
{
	struct driver *d = data;
	const struct table_row *row = result->row_count ? result->rows : NULL;

	d->is_busy = FALSE;
	if (d->is_given_up) {
		run_step(d, CLAIM_STEP_ANSWER);
		return;
	}
	run_step(d, claim_on_read(&d->claim, result->status, row));
}

static void on_write(enum status status, int64_t version, void *data)
{
	struct driver *d = data;
	enum claim_step step = claim_on_write(&d->claim, status, version);

	d->is_busy = FALSE;
	run_step(d, d->is_given_up ? CLAIM_STEP_ANSWER : step);
}

static enum claim_peer peer_state(const struct driver *d,
				  const struct http_reply *reply)
{
	json_object *incarnation = NULL;
	json_object *is_pending = NULL;

	if (reply->status == STATUS_UNAVAILABLE)
		return CLAIM_PEER_ENDED;
	if (reply->status != STATUS_OK || !reply->body)
		return CLAIM_PEER_SILENT;
	json_object_object_get_ex(reply->body, "incarnation", &incarnation);
	json_object_object_get_ex(reply->body, "is_pending", &is_pending);
	if (!json_object_is_type(incarnation, json_type_string))
		return CLAIM_PEER_ENDED;
	if (!g_str_equal(json_object_get_string(incarnation),
			 d->claim.peer_incarnation))
		return CLAIM_PEER_ENDED;
	return json_object_get_boolean(is_pending) ? CLAIM_PEER_PENDING
						   : CLAIM_PEER_ENDED;
}

static void on_peer_reply(const struct http_reply *reply, void *data)
{
	struct driver *d = data;

	d->peer_call = NULL;
	d->is_busy = FALSE;
	run_step(d, claim_on_peer(&d->claim, peer_state(d, reply)));
}

static void step_ask(struct driver *d)
{
	char *path = g_strdup_printf("/v1/claims/%s", d->claim.peer_request_id);
	struct http_call_spec call = {
		.method = "GET",
		.address = d->claim.peer_address,
		.path = path,
		.timeout_ms = PEER_CALL_TIMEOUT_MS,
		.on_reply = on_peer_reply,
		.data = d,
	};

	d->peer_call = http_client_send(d->claims->http, &call);
	g_free(path);
}

static gboolean on_waited(gpointer data)
{
	struct driver *d = data;

	d->timer = 0;
	d->is_busy = FALSE;
	run_step(d, claim_on_waited(&d->claim));
	return G_SOURCE_REMOVE;
}

static void step_wait(struct driver *d)
{
	if (util_monotonic_ms() + RETRY_WAIT_MS < d->deadline_ms) {
		d->is_busy = TRUE;
		d->timer = g_timeout_add(RETRY_WAIT_MS, on_waited, d);
		return;
	}
	if (d->claim.is_background)
		driver_end(d);
	else
		run_step(d, claim_on_deadline(&d->claim));
}

/* Releases a claim that was or may have been written. */
static void release_claim(struct driver *d)
{
	begin_background(d);
	d->is_given_up = FALSE;
	run_step(d, claim_write(&d->claim, CLAIM_NOT_RUN, d->reason, NULL));
}

static void step_answer(struct driver *d)
{
	gboolean may_be_written = d->has_written && !d->claim.is_background &&
				  (d->is_given_up || d->claim.is_unresolved);

	if (!d->is_answered) {
		set_answer(d, d->claim.answer, d->claim.reason,
			   d->claim.result);
		deliver_answer(d, NULL);
	}
	if (may_be_written)
		release_claim(d);
	else
		driver_end(d);
}

static void step_written(struct driver *d)
{
	struct claim_handle *h = leader(d);

	if (d->claim.is_background) {
		driver_end(d);
		return;
	}
	if (d->claim.own.state == CLAIM_CLAIMED) {
		h->events->on_won(h->data);
		return;
	}
	set_answer(d, ANSWER_NOT_RUN, d->claim.reason, NULL);
	deliver_answer(d, NULL);
	driver_end(d);
}

static void step_ready(struct driver *d)
{
	struct claim_handle *h = leader(d);

	h->events->on_ready(h->data);
}

static void step_read(struct driver *d)
{
	d->is_busy = TRUE;
	claim_store_read(d->claims->store, d->key, on_read, d);
}

static void step_write(struct driver *d)
{
	d->is_busy = TRUE;
	d->has_written = TRUE;
	claim_store_write(d->claims->store, d->key, d->claim.version,
			  claim_row_value(&d->claim), on_write, d);
}

static void (*const steps[])(struct driver *d) = {
	[CLAIM_STEP_READ] = step_read,	   [CLAIM_STEP_WRITE] = step_write,
	[CLAIM_STEP_ASK] = step_ask,	   [CLAIM_STEP_WAIT] = step_wait,
	[CLAIM_STEP_READY] = step_ready,   [CLAIM_STEP_WRITTEN] = step_written,
	[CLAIM_STEP_ANSWER] = step_answer,
};

static void run_step(struct driver *d, enum claim_step step)
{
	steps[step](d);
}

static gboolean on_begin(gpointer data)
{
	struct driver *d = data;

	d->timer = 0;
	run_step(d, claim_begin(&d->claim));
	return G_SOURCE_REMOVE;
}

static struct driver *driver_new(struct claims *c, const char *key,
				 const char *request_id, int64_t attempt,
				 int64_t deadline_ms)
{
	struct driver *d = g_new0(struct driver, 1);
	char *commit_id = util_random_id();
	struct claim_spec spec = {
		.request_id = request_id,
		.node = c->spec.node,
		.incarnation = c->spec.incarnation,
		.address = c->spec.address,
		.commit_id = commit_id,
		.attempt = attempt,
	};

	d->claims = c;
	d->key = g_strdup(key);
	d->deadline_ms = deadline_ms;
	d->handles = g_ptr_array_new();
	claim_init(&d->claim, &spec);
	g_hash_table_insert(c->by_key, d->key, d);
	g_hash_table_insert(c->by_request_id, d->claim.own.request_id, d);
	d->timer = g_timeout_add(0, on_begin, d);
	g_free(commit_id);
	return d;
}

/* Gives a later request of the key the answer of the earlier one. */
static gboolean on_late_answer(gpointer data)
{
	struct claim_handle *h = data;
	struct driver *d = h->driver;

	h->late_answer_source = 0;
	g_ptr_array_remove(d->handles, h);
	h->events->on_answer(d->answer, d->reason, d->result, h->data);
	g_free(h);
	return G_SOURCE_REMOVE;
}

struct claim_handle *claims_begin(struct claims *c, const char *key,
				  const char *request_id, int64_t attempt,
				  int64_t deadline_ms,
				  const struct claim_events *events, void *data)
{
	struct claim_handle *h = g_new0(struct claim_handle, 1);
	struct driver *d = g_hash_table_lookup(c->by_key, key);

	if (!d)
		d = driver_new(c, key, request_id, attempt, deadline_ms);
	h->driver = d;
	h->events = events;
	h->data = data;
	g_ptr_array_add(d->handles, h);
	if (d->is_answered)
		h->late_answer_source = g_idle_add(on_late_answer, h);
	return h;
}

void claim_handle_acquire(struct claim_handle *h)
{
	struct driver *d = h->driver;

	run_step(d, claim_write(&d->claim, CLAIM_CLAIMED, REASON_NONE, NULL));
}

void claim_handle_refuse(struct claim_handle *h, enum reason reason)
{
	struct driver *d = h->driver;

	if (!claim_is_first(&d->claim)) {
		run_step(d,
			 claim_write(&d->claim, CLAIM_NOT_RUN, reason, NULL));
		return;
	}
	set_answer(d, ANSWER_NOT_RUN, reason, NULL);
	deliver_answer(d, NULL);
	driver_end(d);
}

static gboolean fits_in_row(json_object *result)
{
	size_t len = 0;

	json_object_to_json_string_length(result, JSON_C_TO_STRING_PLAIN, &len);
	return len <= MAX_RESULT_BYTES;
}

void claim_handle_finish(struct claim_handle *h, enum answer_kind kind,
			 enum reason reason, json_object *result)
{
	static const enum claim_state states[] = {
		[ANSWER_DONE] = CLAIM_DONE,
		[ANSWER_NOT_RUN] = CLAIM_NOT_RUN,
		[ANSWER_UNKNOWN] = CLAIM_UNKNOWN,
	};
	struct driver *d = h->driver;
	json_object *stored = result && fits_in_row(result) ? result : NULL;

	set_answer(d, kind, reason, result);
	deliver_answer(d, h);
	begin_background(d);
	run_step(d, claim_write(&d->claim, states[kind], reason, stored));
}

void claim_handle_give_up(struct claim_handle *h)
{
	struct driver *d = h->driver;
	enum claim_phase phase = d->claim.phase;
	gboolean is_leader = leader(d) == h;

	if (d->is_answered || !is_leader) {
		g_ptr_array_remove(d->handles, h);
		if (h->late_answer_source)
			g_source_remove(h->late_answer_source);
		h->events->on_answer(ANSWER_UNKNOWN, REASON_CLAIMED_ELSEWHERE,
				     NULL, h->data);
		g_free(h);
		return;
	}
	claim_on_deadline(&d->claim);
	set_answer(d, d->claim.answer, d->claim.reason, NULL);
	d->is_given_up = TRUE;
	deliver_answer(d, NULL);
	/* The step in progress may still write the row: see on_write(). */
	if (d->is_busy && d->has_written && phase != CLAIM_PHASE_ASKING)
		return;
	driver_end(d);
}
