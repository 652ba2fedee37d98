#define _GNU_SOURCE
#include <dlfcn.h>
#include <glib.h>
#include <sys/socket.h>

#include "base/http_client.h"
#include "base/http_server.h"

#define MAX_SERVERS 100
#define ROUNDS 3
#define CALL_TIMEOUT_MS 5000
#define MAX_CALLS 1000
#define MAX_PER_ADDRESS 4
#define MAX_GROWTH 1.2

static uint64_t recv_calls;

/* Stands before the C library's own, to count the calls. */
ssize_t recv(int fd, void *buffer, size_t len, int flags)
{
	static ssize_t (*next)(int, void *, size_t, int);

	if (!next)
		next = (ssize_t(*)(int, void *, size_t, int))dlsym(RTLD_NEXT,
								   "recv");
	recv_calls++;
	return next(fd, buffer, len, flags);
}

static void handle(struct http_request *r, void *data)
{
	http_request_reply(r, SOUP_STATUS_OK, json_object_new_object());
}

static struct http_server *new_server(void)
{
	struct http_server *s = http_server_new(1024);
	enum status status;

	http_server_route(s, "GET", "/", handle, NULL);
	status = http_server_listen(s, "127.0.0.1", 0);
	g_assert_cmpint(status, ==, STATUS_OK);
	return s;
}

struct tally {
	guint answered;
	guint ended;
	enum status last_status;
};

static void on_reply(const struct http_reply *reply, void *data)
{
	struct tally *t = data;

	t->last_status = reply->status;
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

/* Returns the calls of recv() for each call, connections open already. */
static double recv_per_call(struct http_server **servers, guint count)
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

/* The cost of a call must not grow with the other addresses in use. */
static void test_cost_by_addresses(void)
{
	struct http_server *servers[MAX_SERVERS];
	double few;
	double many;

	for (guint i = 0; i < MAX_SERVERS; i++)
		servers[i] = new_server();
	few = recv_per_call(servers, MAX_SERVERS / 10);
	many = recv_per_call(servers, MAX_SERVERS);
	g_test_message("recv calls: %.1f at 10, %.1f at 100", few, many);
	g_assert_cmpfloat(many, <=, few * MAX_GROWTH);
	for (guint i = 0; i < MAX_SERVERS; i++)
		http_server_free(servers[i]);
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http-client/cost-by-addresses",
			test_cost_by_addresses);
	g_test_add_func("/http-client/too-many-calls", test_too_many_calls);
	return g_test_run();
}
