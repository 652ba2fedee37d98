#include "daemon/holder_client.h"

#include "base/util.h"
#include "daemon/http_service.h"
#include "daemon/platform_service.h"
#include "daemon/settings_service.h"
#include "store/table_row.h"
#include "shared/lease_row.h"

#define CALL_TIMEOUT_MS INT64_C(1000)
#define ADDRESS_CACHE_MS INT64_C(5000)
#define POKE_MAX_TRIES 3

struct cached_holder {
	char *address;
	int64_t valid_until_ms; /**< monotonic */
};

struct holder_client {
	struct kernel *kernel;
	GHashTable *holders; /**< pool name to struct cached_holder */
	GHashTable *calls;   /**< set of struct holder_call */
};

/** A call to a pool's holder, whose address is looked up first. */
struct holder_call {
	struct holder_client *client;
	struct http_call *http; /**< NULL while the address is looked up */
	char *pool;
	const char *method;
	char *path;
	json_object *body; /**< may be NULL */
	http_reply_fn fn;  /**< NULL for a poke, whose reply is ignored */
	void *data;
	guint tries; /**< failed attempts of a poke */
};

static void cached_holder_free(gpointer data)
{
	struct cached_holder *k = data;

	g_free(k->address);
	g_free(k);
}

struct holder_client *holder_client_new(struct kernel *k)
{
	struct holder_client *h = g_new0(struct holder_client, 1);

	h->kernel = k;
	h->holders = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   cached_holder_free);
	h->calls = g_hash_table_new(NULL, NULL);
	return h;
}

static void call_clear(struct holder_call *c)
{
	g_free(c->pool);
	g_free(c->path);
	json_object_put(c->body);
	g_free(c);
}

void holder_client_free(struct holder_client *h)
{
	GHashTableIter iter;
	gpointer item;

	g_hash_table_iter_init(&iter, h->calls);
	while (g_hash_table_iter_next(&iter, &item, NULL)) {
		struct holder_call *c = item;

		if (c->http)
			http_call_cancel(c->http);
		platform_forget(platform_of(h->kernel), c);
		call_clear(c);
	}
	g_hash_table_unref(h->calls);
	g_hash_table_unref(h->holders);
	g_free(h);
}

static void end_call(struct holder_call *c, const struct http_reply *reply)
{
	g_hash_table_remove(c->client->calls, c);
	if (c->fn)
		c->fn(reply, c->data);
	call_clear(c);
}

static void find_holder(struct holder_call *c);

static void on_reply(const struct http_reply *reply, void *data)
{
	struct holder_call *c = data;
	gboolean is_bad = reply->status != STATUS_OK || reply->code >= 300;

	c->http = NULL;
	if (is_bad)
		g_hash_table_remove(c->client->holders, c->pool);
	if (is_bad && !c->fn && ++c->tries < POKE_MAX_TRIES)
		find_holder(c);
	else
		end_call(c, reply);
}

static void send_call(struct holder_call *c, const char *address)
{
	struct kernel *k = c->client->kernel;
	const char *token = settings_of(k)->operator_token;
	char *bearer = g_strdup_printf("Bearer %s", token ? token : "");
	const char *headers[] = { "Authorization", bearer, NULL };
	struct http_call_spec spec = {
		.method = c->method,
		.address = address,
		.path = c->path,
		.body = c->body,
		.timeout_ms = CALL_TIMEOUT_MS,
		.headers = token ? headers : NULL,
		.on_reply = on_reply,
		.data = c,
	};

	c->http = http_client_send(http_client_of(k), &spec);
	g_free(bearer);
}

static void cache_holder(struct holder_client *h, const char *pool,
			 const char *address)
{
	struct cached_holder *k = g_new0(struct cached_holder, 1);

	k->address = g_strdup(address);
	k->valid_until_ms = util_monotonic_ms() + ADDRESS_CACHE_MS;
	g_hash_table_insert(h->holders, g_strdup(pool), k);
}

static void on_lease_row(const struct platform_result *result, void *data)
{
	struct holder_call *c = data;
	const struct http_reply unavailable = { .status = STATUS_UNAVAILABLE };
	struct lease_row row = { 0 };

	if (table_row_decode(result, &lease_row_schema, &row) == STATUS_OK &&
	    !lease_row_is_released(&row)) {
		cache_holder(c->client, c->pool, row.address);
		send_call(c, row.address);
	} else {
		end_call(c, &unavailable);
	}
	lease_row_clear(&row);
}

static void find_holder(struct holder_call *c)
{
	const struct cached_holder *k =
		g_hash_table_lookup(c->client->holders, c->pool);

	if (k && util_monotonic_ms() < k->valid_until_ms)
		send_call(c, k->address);
	else
		platform_read(platform_of(c->client->kernel), LEASE_TABLE,
			      c->pool, on_lease_row, c);
}

static struct holder_call *add_call(struct holder_client *h, const char *pool,
				    const char *method, const char *path)
{
	struct holder_call *c = g_new0(struct holder_call, 1);

	c->client = h;
	c->pool = g_strdup(pool);
	c->method = method;
	c->path = g_strdup(path);
	g_hash_table_add(h->calls, c);
	return c;
}

void holder_client_poke(struct holder_client *h, const char *pool,
			const char *id)
{
	struct holder_call *c = add_call(h, pool, "POST", "/v1/jobs/poke");

	c->body = json_object_new_object();
	json_object_object_add(c->body, "pool", json_object_new_string(pool));
	json_object_object_add(c->body, "id", json_object_new_string(id));
	find_holder(c);
}

void holder_client_get(struct holder_client *h, const char *pool,
		       const char *path, http_reply_fn fn, void *data)
{
	struct holder_call *c = add_call(h, pool, "GET", path);

	c->fn = fn;
	c->data = data;
	find_holder(c);
}
