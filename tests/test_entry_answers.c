/*
 * Which answers of other VMs an entry VM passes on: a rejection only if no
 * attempt at the request can have taken effect. Real csentryd processes and
 * store; the other VMs are scripted.
 */
#include <signal.h>
#include <string.h>

#include "base/http_server.h"
#include "tests/entry_site.h"

#define MAX_BODY_BYTES 65536
#define MAX_ANSWERS 4
#define MAX_PEERS 2
/* Script entry: the connection is closed without an answer. */
#define NO_ANSWER 0
/* Time until a VM knows that the store doesn't answer it. */
#define STORE_LOSS_MS 2000
#define JOB_PATH "/spot/0000000000000d01"
#define JOB_BODY                                                         \
	"{\"Spec\":\"run_ms=300\",\"Steps\":[{\"Count\":1,\"Cpu\":1000," \
	"\"MemMb\":100,\"Gpu\":1,\"EstimateMs\":300}]}"

/* What the store does to the VM that gets the request. */
enum store_fault {
	STORE_DOWN,	  /* away just before the request */
	STORE_KNOWN_DOWN, /* away for so long that the VM knows it */
	STORE_ANSWER_LOST /* applies the write of the job, then goes away */
};

struct answer_case {
	const char *name;
	const char *method;
	enum store_fault fault;
	guint peers;
	gboolean is_warm;    /* a request has used the first peer before */
	gboolean is_as_peer; /* another VM has handed the request over */
	const char *key;
	guint script[MAX_ANSWERS]; /* of all peers together */
	guint code;
};

static const struct answer_case cases[] = {
	/* The VM's own write may have stored the job (review, case 11). */
	{ "/entry-answers/own-write/unauthorized",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 401 },
	  504 },
	{ "/entry-answers/own-write/no-route",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 404 },
	  504 },
	{ "/entry-answers/own-write/bad-request",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 400 },
	  504 },
	{ "/entry-answers/own-write/too-large",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 413 },
	  504 },
	{ "/entry-answers/own-write/unavailable",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 503, 503 },
	  504 },
	{ "/entry-answers/own-write/accepted",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 200 },
	  200 },
	{ "/entry-answers/own-write/as-peer",
	  "POST",
	  STORE_ANSWER_LOST,
	  2,
	  FALSE,
	  TRUE,
	  "k1",
	  { 401 },
	  504 },
	/* Nothing was written, so a rejection is certain. */
	{ "/entry-answers/no-write/unauthorized",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 401 },
	  401 },
	{ "/entry-answers/no-write/unavailable",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 503, 429 },
	  503 },
	{ "/entry-answers/no-write/busy-unauthorized",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 429, 401 },
	  401 },
	{ "/entry-answers/no-write/as-peer",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  TRUE,
	  "k1",
	  { 401 },
	  503 },
	/* The first peer may have stored it. */
	{ "/entry-answers/peer/lost-unauthorized",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { NO_ANSWER, 401 },
	  504 },
	{ "/entry-answers/peer/unknown-unauthorized",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 504, 401 },
	  504 },
	{ "/entry-answers/peer/unknown-no-route",
	  "POST",
	  STORE_KNOWN_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { 504, 404 },
	  504 },
	{ "/entry-answers/peer/lost-accepted",
	  "POST",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { NO_ANSWER, 200 },
	  200 },
	/* The same peer got it twice, the first time on a connection that
	 * ended. */
	{ "/entry-answers/peer/resent-unauthorized",
	  "POST",
	  STORE_DOWN,
	  1,
	  TRUE,
	  FALSE,
	  "k1",
	  { 410, NO_ANSWER, 401 },
	  504 },
	/* This VM decides last, by a configuration without the key. */
	{ "/entry-answers/itself/lost-unauthorized",
	  "POST",
	  STORE_KNOWN_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k2",
	  { NO_ANSWER, NO_ANSWER },
	  504 },
	{ "/entry-answers/itself/refused-unauthorized",
	  "POST",
	  STORE_KNOWN_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k2",
	  { 503, 503 },
	  401 },
	/* Cancels and queries. */
	{ "/entry-answers/cancel/lost-unauthorized",
	  "DELETE",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { NO_ANSWER, 401 },
	  504 },
	{ "/entry-answers/cancel/lost-gone",
	  "DELETE",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { NO_ANSWER, 410 },
	  410 },
	{ "/entry-answers/query/lost-unauthorized",
	  "GET",
	  STORE_DOWN,
	  2,
	  FALSE,
	  FALSE,
	  "k1",
	  { NO_ANSWER, 401 },
	  401 },
};

/* Scripted VMs, with one script for all of them. */
struct peers {
	struct http_server *servers[MAX_PEERS];
	const guint *script;
	guint answered;
};

static void on_request(struct http_request *r, void *data)
{
	struct peers *p = data;
	guint code = NO_ANSWER;

	if (p->answered < MAX_ANSWERS)
		code = p->script[p->answered++];
	if (code == NO_ANSWER)
		http_request_close_connection(r);
	else
		http_request_reply_empty(r, code);
}

/* Lists a scripted VM among those that serve requests of others. */
static void register_peer(struct site *s, guint index, uint16_t port)
{
	char *row = g_strdup_printf("{\"failure_domain\":\"tov-a\","
				    "\"cpu_share\":100,"
				    "\"forward\":\"127.0.0.1:%u\"}",
				    port);
	char *value = g_base64_encode((const guchar *)row, strlen(row));
	char *set = g_strdup_printf("{\"Table\":\"delegates\",\"part\":\"\","
				    "\"Key\":\"p%u\",\"Value\":\"%s\"}",
				    index, value);

	site_commit(s, set, "");
	g_free(set);
	g_free(value);
	g_free(row);
}

static void peers_start(struct peers *p, struct site *s,
			const struct answer_case *c)
{
	static const char *const methods[] = { "POST", "GET", "DELETE" };

	p->script = c->script;
	for (guint i = 0; i < c->peers; i++) {
		p->servers[i] = http_server_new(MAX_BODY_BYTES);
		for (guint k = 0; k < G_N_ELEMENTS(methods); k++)
			http_server_add_route(p->servers[i], methods[k], "/",
					      on_request, p);
		g_assert_cmpint(
			http_server_listen(p->servers[i], "127.0.0.1", 0), ==,
			STATUS_OK);
		register_peer(s, i, http_server_port(p->servers[i]));
	}
}

static gboolean knows_peers(void *data)
{
	const struct site *s = data;

	return cluster_entry_is_ready(s->cluster, s->readiness[0]) &&
	       cluster_count_lines(s->entries[0], "event=peers_known");
}

/* Leaves one VM of the deployment, which knows the scripted ones. */
static struct site *site_new_among(struct peers *p, const struct answer_case *c)
{
	struct site *s = site_new();

	for (guint i = 0; i < SITE_ENTRIES; i++)
		cluster_signal(s->entries[i], SIGKILL);
	peers_start(p, s, c);
	site_start_entry(s, 0);
	g_assert_true(cluster_wait(knows_peers, s, SITE_WAIT_MS));
	return s;
}

static guint call(struct site *s, const struct answer_case *c,
		  const char *method)
{
	char *key = g_strdup_printf("Token %s", c->key);
	const char *const headers[] = {
		"Authorization", key, "Host", "wind.example", "Cs-Client-Host",
		"wind.example",	 NULL
	};
	const char *address = c->is_as_peer ? s->forwards[0] : s->frontends[0];
	struct cluster_reply r =
		cluster_call(s->cluster, method, address, JOB_PATH,
			     g_str_equal(method, "POST") ? JOB_BODY : NULL,
			     headers, CLUSTER_CALL_TIMEOUT_MS);
	guint code = r.code;

	cluster_reply_clear(&r);
	g_free(key);
	return code;
}

static void test_answer(gconstpointer data)
{
	static const char *const controls[] = {
		[STORE_DOWN] = "{\"down\":true}",
		[STORE_KNOWN_DOWN] = "{\"down\":true}",
		[STORE_ANSWER_LOST] =
			"{\"mute_jobs\":1,\"down_after_mute\":true}",
	};
	const struct answer_case *c = data;
	struct peers peers = { 0 };
	struct site *s = site_new_among(&peers, c);

	cluster_control(s->cluster, s->store, controls[c->fault]);
	if (c->fault == STORE_KNOWN_DOWN)
		cluster_sleep(STORE_LOSS_MS);
	if (c->is_warm)
		g_assert_cmpuint(call(s, c, "GET"), ==, c->script[0]);
	g_assert_cmpuint(call(s, c, c->method), ==, c->code);
	site_free(s);
	for (guint i = 0; i < c->peers; i++)
		http_server_free(peers.servers[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_answer);
	return g_test_run();
}
