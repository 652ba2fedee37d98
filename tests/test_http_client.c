#define _GNU_SOURCE
#include <dlfcn.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/util.h"
#include "tests/cluster.h"

#define MAX_SERVERS 100
#define ROUNDS 3
#define CALL_TIMEOUT_MS 5000
#define MAX_CALLS 1000
#define MAX_PER_ADDRESS 4
#define MAX_GROWTH 1.2
/** Longer than the client keeps the session of an idle address. */
#define SESSION_EXPIRY_MS 7000
#define SILENT_TIMEOUT_MS 1500

static uint64_t recv_calls;

/* Wraps the C library's function to count its calls. */
ssize_t recv(int fd, void *buffer, size_t len, int flags)
{
	static ssize_t (*next)(int, void *, size_t, int);

	if (!next)
		next = (ssize_t(*)(int, void *, size_t, int))dlsym(RTLD_NEXT,
								   "recv");
	recv_calls++;
	return next(fd, buffer, len, flags);
}

static int user_timeout_ms;
static uint64_t user_timeouts;

/* Wraps the C library's function to record each TCP_USER_TIMEOUT. */
int setsockopt(int fd, int level, int name, const void *value, socklen_t len)
{
	static int (*next)(int, int, int, const void *, socklen_t);

	if (!next)
		next = (int (*)(int, int, int, const void *, socklen_t))dlsym(
			RTLD_NEXT, "setsockopt");
	if (level == IPPROTO_TCP && name == TCP_USER_TIMEOUT) {
		user_timeout_ms = *(const int *)value;
		user_timeouts++;
	}
	return next(fd, level, name, value, len);
}

/** Lifetime of each session; 0 for the client's own. */
static gint32 session_lifetime_ms;

/* Wraps the library's function, by which the client draws the lifetimes. */
gint32 g_random_int_range(gint32 begin, gint32 end)
{
	static gint32 (*next)(gint32, gint32);

	if (session_lifetime_ms)
		return session_lifetime_ms;
	if (!next)
		next = (gint32(*)(gint32, gint32))dlsym(RTLD_NEXT,
							"g_random_int_range");
	return next(begin, end);
}

static void handle(struct http_request *r, void *data)
{
	http_request_reply(r, SOUP_STATUS_OK, json_object_new_object());
}

static struct http_server *new_server(void)
{
	struct http_server *s = http_server_new(1024);
	enum status status;

	http_server_add_route(s, "GET", "/", handle, NULL);
	status = http_server_listen(s, "127.0.0.1", 0);
	g_assert_cmpint(status, ==, STATUS_OK);
	return s;
}

struct tally {
	guint answered;
	guint ended;
	enum status last_status;
	gboolean is_expired; /* of the last reply */
};

static void on_reply(const struct http_reply *reply, void *data)
{
	struct tally *t = data;

	t->last_status = reply->status;
	t->is_expired = reply->is_expired;
	t->answered += reply->status == STATUS_OK ? 1 : 0;
	t->ended++;
}

static void call(struct http_client *c, const struct http_server *s,
		 struct tally *t)
{
	char *address = g_strdup_printf("127.0.0.1:%u", http_server_port(s));
	struct http_call_spec spec = {
		.method = "GET",
		.address = address,
		.path = "/",
		.timeout_ms = CALL_TIMEOUT_MS,
		.on_reply = on_reply,
		.data = t,
	};

	http_client_send(c, &spec);
	g_free(address);
}

static void await(const struct tally *t, guint ended)
{
	while (t->ended < ended)
		g_main_context_iteration(NULL, TRUE);
}

/* Returns the calls of recv() per HTTP call over open connections. */
static double measure_recv_per_call(struct http_server **servers, guint count)
{
	struct http_client *c = http_client_new(MAX_CALLS, MAX_PER_ADDRESS);
	struct tally t = { 0 };
	guint sent = 0;
	double result;

	for (guint round = 0; round < ROUNDS; round++) {
		recv_calls = 0;
		sent += count;
		for (guint i = 0; i < count; i++)
			call(c, servers[i], &t);
		await(&t, sent);
	}
	g_assert_cmpuint(t.answered, ==, sent);
	result = (double)recv_calls / count;
	http_client_free(c);
	return result;
}

/*
 * The cost of a call must not grow with the number of addresses in use: a
 * session checks all its idle connections for each call.
 */
static void test_cost_by_addresses(void)
{
	struct http_server *servers[MAX_SERVERS];
	double few;
	double many;

	for (guint i = 0; i < MAX_SERVERS; i++)
		servers[i] = new_server();
	few = measure_recv_per_call(servers, MAX_SERVERS / 10);
	many = measure_recv_per_call(servers, MAX_SERVERS);
	g_test_message("recv calls: %.1f at 10, %.1f at 100", few, many);
	g_assert_cmpfloat(many, <=, few * MAX_GROWTH);
	for (guint i = 0; i < MAX_SERVERS; i++)
		http_server_free(servers[i]);
}

/*
 * Each session adds work to every main loop iteration, so their number must
 * follow the number of addresses in use, up and down.
 */
static void test_sessions_by_need(void)
{
	struct http_client *c = http_client_new(MAX_CALLS, MAX_PER_ADDRESS);
	struct http_server *servers[MAX_SERVERS];
	struct tally t = { 0 };

	for (guint i = 0; i < MAX_SERVERS; i++) {
		servers[i] = new_server();
		call(c, servers[i], &t);
	}
	await(&t, MAX_SERVERS);
	g_assert_cmpuint(http_client_sessions(c), <=, MAX_SERVERS / 4);
	cluster_sleep(SESSION_EXPIRY_MS);
	call(c, servers[0], &t);
	await(&t, MAX_SERVERS + 1);
	g_assert_cmpuint(t.answered, ==, MAX_SERVERS + 1);
	g_assert_cmpuint(http_client_sessions(c), ==, 1);
	http_client_free(c);
	for (guint i = 0; i < MAX_SERVERS; i++)
		http_server_free(servers[i]);
}

/* A server that leaves some requests unanswered, like a silent connection. */
struct silent_server {
	guint requests;
	guint from;  /* number of the first request not answered */
	guint until; /* number of the next one that is answered again */
	GPtrArray *unanswered;
};

static void handle_silent(struct http_request *r, void *data)
{
	struct silent_server *s = data;
	guint number = s->requests++;

	if (number >= s->from && number < s->until)
		g_ptr_array_add(s->unanswered, r);
	else
		handle(r, NULL);
}

static const struct silent_case {
	const char *name;
	gboolean may_reuse;
	guint from;
	guint until;
	guint requests; /* expected in total for two calls */
	enum status status;
} silent_cases[] = {
	{ "all answered", TRUE, 0, 0, 2, STATUS_OK },
	{ "reused connection silent", TRUE, 1, 2, 3, STATUS_OK },
	{ "reused and new connection silent", TRUE, 1, 3, 3, STATUS_UNKNOWN },
	{ "new connection silent", FALSE, 1, 2, 2, STATUS_UNKNOWN },
};

static void post_twice(const struct silent_case *x, const char *address)
{
	struct http_client *c = http_client_new(MAX_CALLS, MAX_PER_ADDRESS);
	struct tally t = { 0 };
	struct http_call_spec spec = {
		.method = "POST",
		.address = address,
		.path = "/",
		.timeout_ms = SILENT_TIMEOUT_MS,
		.may_reuse = x->may_reuse,
		.on_reply = on_reply,
		.data = &t,
	};
	int64_t start_ms = g_get_monotonic_time() / 1000;

	for (guint i = 1; i <= 2; i++) {
		http_client_send(c, &spec);
		await(&t, i);
	}
	g_assert_cmpint(t.last_status, ==, x->status);
	if (x->status == STATUS_OK)
		g_assert_cmpint(g_get_monotonic_time() / 1000 - start_ms, <,
				SILENT_TIMEOUT_MS);
	http_client_free(c);
}

/*
 * If a reused connection is silent, the call must be sent again on a new one
 * after a part of its timeout, instead of failing.
 */
static void test_silent(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(silent_cases); i++) {
		const struct silent_case *x = &silent_cases[i];
		struct silent_server silent = { 0, x->from, x->until,
						g_ptr_array_new() };
		struct http_server *s = http_server_new(1024);
		char *address;

		g_test_message("%s", x->name);
		http_server_add_route(s, "POST", "/", handle_silent, &silent);
		g_assert_cmpint(http_server_listen(s, "127.0.0.1", 0), ==,
				STATUS_OK);
		address = g_strdup_printf("127.0.0.1:%u", http_server_port(s));
		user_timeouts = 0;
		post_twice(x, address);
		g_assert_cmpuint(silent.requests, ==, x->requests);
		/* Once per reusable connection; the first two requests share
		 * one. */
		g_assert_cmpuint(user_timeouts, ==,
				 x->may_reuse ? x->requests - 1 : 0);
		if (x->may_reuse)
			g_assert_cmpint(user_timeout_ms, ==, SILENT_TIMEOUT_MS);
		for (guint k = 0; k < silent.unanswered->len; k++)
			http_request_close_connection(
				silent.unanswered->pdata[k]);
		g_ptr_array_unref(silent.unanswered);
		http_server_free(s);
		g_free(address);
	}
}

/* Makes calls for longer than a session takes any, while the first waits. */
static void check_sessions_change(struct http_client *c, struct http_server *s,
				  struct silent_server *silent)
{
	struct tally t = { 0 };

	call(c, s, &t);
	for (guint i = 1; i <= 8; i++) {
		cluster_sleep(200);
		call(c, s, &t);
		await(&t, i);
	}
	g_assert_cmpuint(http_client_sessions(c), >=, 2);
	g_assert_cmpuint(http_client_sessions(c), <, 8);
	g_assert_cmpuint(silent->unanswered->len, ==, 1);
	handle(silent->unanswered->pdata[0], NULL);
	await(&t, 9);
	g_assert_cmpuint(t.answered, ==, 9);
}

/*
 * A session that has reached the end of its lifetime is given no calls and is
 * freed with its connections, but not before its last call has ended.
 */
static void test_session_end(void)
{
	struct silent_server silent = { 0, 0, 1, g_ptr_array_new() };
	struct http_server *s = http_server_new(1024);
	struct http_client *c = http_client_new(MAX_CALLS, MAX_PER_ADDRESS);

	session_lifetime_ms = 200;
	http_server_add_route(s, "GET", "/", handle_silent, &silent);
	g_assert_cmpint(http_server_listen(s, "127.0.0.1", 0), ==, STATUS_OK);
	check_sessions_change(c, s, &silent);
	session_lifetime_ms = 0;
	cluster_sleep(SESSION_EXPIRY_MS + 1000);
	g_assert_cmpuint(http_client_sessions(c), ==, 0);
	http_client_free(c);
	http_server_free(s);
	g_ptr_array_unref(silent.unanswered);
}

static void test_too_many_calls(void)
{
	struct http_client *c = http_client_new(2, MAX_PER_ADDRESS);
	struct http_server *s = new_server();
	struct tally good = { 0 };
	struct tally refused = { 0 };

	call(c, s, &good);
	call(c, s, &good);
	call(c, s, &refused);
	await(&good, 2);
	await(&refused, 1);
	g_assert_cmpuint(good.answered, ==, 2);
	g_assert_cmpint(refused.last_status, ==, STATUS_UNAVAILABLE);
	http_client_free(c);
	http_server_free(s);
}

/* Addresses that another system may hand over, and that no call can reach. */
static const char *const bad_addresses[] = {
	"127.0.0.1:65536",
	"127.0.0.1:99999999999999999999",
	"127.0.0.1:-1",
	"127.0.0.1:x",
	"",
	":80",
	"127.0.0.1:80/path with blanks",
	"[::1",
};

/*
 * A call to a malformed address ends at once, as not sent, and leaves nothing
 * behind. Registrations of other writers may have such addresses.
 */
static void test_bad_addresses(void)
{
	struct http_client *c = http_client_new(MAX_CALLS, MAX_PER_ADDRESS);

	for (guint i = 0; i < G_N_ELEMENTS(bad_addresses); i++) {
		struct tally t = { 0 };
		struct http_call_spec spec = {
			.method = "POST",
			.address = bad_addresses[i],
			.path = "/",
			.timeout_ms = SILENT_TIMEOUT_MS,
			.on_reply = on_reply,
			.data = &t,
		};

		g_test_message("%s", bad_addresses[i]);
		for (guint k = 0; k < 2; k++) {
			spec.may_reuse = k;
			http_client_send(c, &spec);
			await(&t, k + 1);
			g_assert_cmpint(t.last_status, ==, STATUS_UNAVAILABLE);
			g_assert_cmpuint(http_client_in_flight(c), ==, 0);
		}
	}
	http_client_free(c);
}

static const struct stall_case {
	const char *name;
	uint32_t idle_ms;  /**< from the end of a call until the next one */
	uint32_t stall_ms; /**< of the process right after that call was sent */
} stall_cases[] = {
	{ "idle for 4.9 s, stalled for 0.3 s", 4900, 300 },
	{ "idle for 2 s, stalled for 3.5 s", 2000, 3500 },
};

/*
 * A call that takes a connection in the moment in which it has been idle for
 * 5 s is answered, also if the process was stalled meanwhile. A timer for idle
 * connections that is due in the same main loop iteration must not close it.
 */
static void test_idle_connection(void)
{
	struct http_server *s = new_server();

	for (guint i = 0; i < G_N_ELEMENTS(stall_cases); i++) {
		const struct stall_case *x = &stall_cases[i];
		struct http_client *c = http_client_new(MAX_CALLS, 1);
		struct tally t = { 0 };
		int64_t start_ms;

		g_test_message("%s", x->name);
		call(c, s, &t);
		await(&t, 1);
		cluster_sleep(x->idle_ms);
		call(c, s, &t);
		g_usleep(x->stall_ms * US_PER_MS);
		start_ms = util_monotonic_ms();
		await(&t, 2);
		g_assert_cmpuint(t.answered, ==, 2);
		g_assert_cmpint(util_monotonic_ms() - start_ms, <,
				CALL_TIMEOUT_MS / 2);
		http_client_free(c);
	}
	http_server_free(s);
}

static const struct expiry_case {
	const char *name;
	int64_t send_within_ms; /* 0 for the timeout */
	uint32_t stall_ms; /* of the process, before the connection opens */
	guint requests;	   /* that the server receives */
	enum status status;
	gboolean is_expired;
} expiry_cases[] = {
	{ "in time", 400, 0, 1, STATUS_OK, FALSE },
	{ "stalled for less", 400, 100, 1, STATUS_OK, FALSE },
	{ "stalled for longer", 400, 600, 0, STATUS_UNAVAILABLE, TRUE },
	/* Its timer ends the call before a connection is ready. */
	{ "stalled beyond the timeout", 0, SILENT_TIMEOUT_MS + 100, 0,
	  STATUS_UNAVAILABLE, FALSE },
};

/*
 * A process that was paused before a connection was ready must not send what
 * its caller has given up meanwhile; the call ends as not sent.
 */
static void test_expiry(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(expiry_cases); i++) {
		const struct expiry_case *x = &expiry_cases[i];
		struct silent_server server = { 0 };
		struct http_server *s = http_server_new(1024);
		struct http_client *c =
			http_client_new(MAX_CALLS, MAX_PER_ADDRESS);
		struct tally t = { 0 };
		struct http_call_spec spec = {
			.method = "POST",
			.path = "/",
			.timeout_ms = SILENT_TIMEOUT_MS,
			.send_within_ms = x->send_within_ms,
			.max_silence_ms = SILENT_TIMEOUT_MS,
			.may_reuse = TRUE,
			.on_reply = on_reply,
			.data = &t,
		};
		char *address;

		g_test_message("%s", x->name);
		http_server_add_route(s, "POST", "/", handle_silent, &server);
		g_assert_cmpint(http_server_listen(s, "127.0.0.1", 0), ==,
				STATUS_OK);
		address = g_strdup_printf("127.0.0.1:%u", http_server_port(s));
		spec.address = address;
		http_client_send(c, &spec);
		g_usleep(x->stall_ms * US_PER_MS);
		await(&t, 1);
		cluster_sleep(100);
		g_assert_cmpint(t.last_status, ==, x->status);
		g_assert_cmpint(t.is_expired, ==, x->is_expired);
		g_assert_cmpuint(server.requests, ==, x->requests);
		g_assert_cmpuint(http_client_in_flight(c), ==, 0);
		http_client_free(c);
		http_server_free(s);
		g_free(address);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-client/bad-addresses", test_bad_addresses);
	g_test_add_func("/http-client/cost-by-addresses",
			test_cost_by_addresses);
	g_test_add_func("/http-client/expiry", test_expiry);
	g_test_add_func("/http-client/idle-connection", test_idle_connection);
	g_test_add_func("/http-client/too-many-calls", test_too_many_calls);
	g_test_add_func("/http-client/session-end", test_session_end);
	g_test_add_func("/http-client/sessions-by-need", test_sessions_by_need);
	g_test_add_func("/http-client/silent-connection", test_silent);
	return g_test_run();
}
