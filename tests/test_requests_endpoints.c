/*
 * Endpoints that fail, leave, refuse connections or are in another failure
 * domain, and a gateway that drains, tested with real processes.
 */
#include <glib.h>
#include <string.h>

#include "tests/request_cluster.h"

/** Time for the gateways to notice that an endpoint leaves. */
#define LEAVING_WAIT_MS 3000

static void warm_up(struct request_cluster *c)
{
	const struct request_call_spec r = { NULL, 0, 5, DEADLINE_MS };

	for (guint i = 0; i < WARM_UP_REQUESTS; i++) {
		struct request_call *call = request_cluster_send(c, 0, &r);

		request_call_wait(call);
		request_call_assert_answer(call, "done", NULL, "repeatable");
		request_call_assert_result_id(call);
		request_call_free(call);
	}
}

/*
 * Faults of one endpoint, its connections or the platform; repeatable requests
 * are done nevertheless. The members are bodies for /control, NULL for none.
 */
struct retry_case {
	const char *path;	    /* of the test case */
	const char *runner_control; /* of the first runner */
	const char *relay_control;
	const char *platform_control;
};

static const struct retry_case retry_cases[] = {
	{ "/requests-endpoints/repeatable-silent-runner", "{\"silent\":true}",
	  NULL, NULL },
	{ "/requests-endpoints/repeatable-crossed-answer",
	  "{\"wrong_id\":true}", NULL, NULL },
	{ "/requests-endpoints/repeatable-failed-run", "{\"fail\":true}", NULL,
	  NULL },
	{ "/requests-endpoints/repeatable-late-answer", "{\"delay_ms\":2500}",
	  NULL, NULL },
	{ "/requests-endpoints/repeatable-silent-connections", NULL,
	  "{\"silence_open\":true}", NULL },
	{ "/requests-endpoints/repeatable-platform-down", NULL, NULL,
	  "{\"mode\":\"down\"}" },
};

static void test_repeatable(const void *data)
{
	const struct retry_case *tc = data;
	const struct request_call_spec r = { NULL, 0, 5, DEADLINE_MS };
	struct request_cluster *c = request_cluster_new();

	warm_up(c);
	if (tc->runner_control)
		cluster_control(c->cluster, c->runner_addresses[0],
				tc->runner_control);
	if (tc->relay_control)
		cluster_control(c->cluster, c->relay_control,
				tc->relay_control);
	if (tc->platform_control)
		cluster_control(c->cluster, c->platform, tc->platform_control);
	for (guint i = 0; i < 10; i++) {
		struct request_call *call = request_cluster_send(c, 0, &r);

		request_call_wait(call);
		request_call_assert_answer(call, "done", NULL, "repeatable");
		request_call_assert_result_id(call);
		request_call_free(call);
	}
	request_cluster_free(c);
}

/* How gateways learn that the first endpoint leaves. */
struct leaving_case {
	const char *path;	    /* of the test case */
	const char *runner_control; /* body for /control, or NULL */
	const char *state;	    /* in the platform's list, or NULL */
	gboolean is_removed;	    /* from the platform's list */
	gboolean is_platform_down;  /* goes down once the endpoint leaves */
};

static const struct leaving_case leaving_cases[] = {
	{ "/requests-endpoints/leaving-by-list", NULL, "leaving", FALSE,
	  FALSE },
	{ "/requests-endpoints/leaving-by-absence", NULL, NULL, TRUE, FALSE },
	{ "/requests-endpoints/leaving-by-answer", "{\"leaving\":true}", NULL,
	  FALSE, FALSE },
	{ "/requests-endpoints/leaving-platform-down", "{\"leaving\":true}",
	  NULL, FALSE, TRUE },
};

static void test_leaving(const void *data)
{
	const struct leaving_case *tc = data;
	struct request_cluster *c = request_cluster_new();
	guint before;

	request_cluster_send_repeatable(c, WARM_UP_REQUESTS);
	if (tc->runner_control)
		cluster_control(c->cluster, c->runner_addresses[0],
				tc->runner_control);
	if (tc->state)
		request_cluster_add_vm(c, "r0", "endpoint", tc->state,
				       c->relayed_addresses[0]);
	if (tc->is_removed)
		cluster_control(c->cluster, c->platform,
				"{\"remove_vms\":[\"r0\"]}");
	if (tc->is_platform_down)
		request_cluster_set_platform_down(c);
	cluster_sleep(LEAVING_WAIT_MS);
	before = request_cluster_count_runs_at_runner(c, 0);
	request_cluster_send_repeatable(c, 20);
	g_assert_cmpuint(request_cluster_count_runs_at_runner(c, 0), ==,
			 before);
	request_cluster_free(c);
}

#define QUEUED_REQUESTS 24
#define QUEUED_WORK_MS 5000
#define QUEUED_DEADLINE_MS 9000

/*
 * Sends more requests than both runners have slots, through one gateway. They
 * come over connections of their own and may be accepted in any order, so the
 * first one has to run before the others are sent.
 */
static void send_queued(struct request_cluster *c, struct request_call **calls)
{
	for (guint i = 0; i < QUEUED_REQUESTS; i++) {
		char *key = g_strdup_printf("queued-%u", i);
		const struct request_call_spec r = { key, 1, QUEUED_WORK_MS,
						     QUEUED_DEADLINE_MS };

		calls[i] = request_cluster_send(c, 0, &r);
		if (i == 0)
			request_cluster_wait_started(c, key);
		g_free(key);
	}
}

/* Returns TRUE if the call was answered, and not with "done". */
static gboolean was_refused(const struct request_call *call)
{
	return call->is_done &&
	       !g_str_equal(request_call_member(call, "answer"), "done");
}

/* Returns how many were refused; asserts that each is answered "not run". */
static guint count_refused(struct request_call **calls)
{
	guint refused = 0;

	for (guint i = 0; i < QUEUED_REQUESTS; i++) {
		if (!was_refused(calls[i]))
			continue;
		refused++;
		request_call_assert_answer(calls[i], "not run", "no_endpoint",
					   "");
	}
	return refused;
}

/*
 * Queued requests are refused as soon as it is certain that no endpoint will
 * accept them; running ones are completed.
 */
static void test_queued_leaving(void)
{
	struct request_cluster *c = request_cluster_new();
	struct request_call *calls[QUEUED_REQUESTS];

	send_queued(c, calls);
	cluster_sleep(500);
	request_cluster_add_vm(c, "r0", "endpoint", "leaving",
			       c->relayed_addresses[0]);
	request_cluster_add_vm(c, "r1", "endpoint", "leaving",
			       c->relayed_addresses[1]);
	cluster_sleep(LEAVING_WAIT_MS);
	g_assert_cmpuint(count_refused(calls), >, 0);
	for (guint i = 0; i < QUEUED_REQUESTS; i++) {
		gboolean is_refused = was_refused(calls[i]);

		request_call_wait(calls[i]);
		if (!is_refused)
			g_assert_cmpstr(request_call_member(calls[i], "answer"),
					==, "done");
		request_call_free(calls[i]);
	}
	request_cluster_free(c);
}

/* Binds a port without listening on it, so that connections are refused. */
static GSocket *reserve_port(char **address)
{
	GSocketAddress *wanted =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	GSocket *s = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				  G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *got;
	guint port;

	g_assert_true(g_socket_bind(s, wanted, FALSE, NULL));
	got = g_socket_get_local_address(s, NULL);
	port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(got));
	*address = g_strdup_printf("127.0.0.1:%u", port);
	g_object_unref(got);
	g_object_unref(wanted);
	return s;
}

static gboolean has_ejected(void *data)
{
	struct request_cluster *c = data;

	request_cluster_send_repeatable(c, GATEWAYS);
	return cluster_count_lines(c->gateways[0], "endpoint_ejected") > 0;
}

/* An endpoint that refuses connections is ejected, and no request is lost. */
static void test_refused(void)
{
	struct request_cluster *c = request_cluster_new();
	char *refusing_address = NULL;
	GSocket *s = reserve_port(&refusing_address);

	request_cluster_add_vm(c, "r2", "endpoint", "live", refusing_address);
	g_assert_true(cluster_wait(has_ejected, c, READY_TIMEOUT_MS));
	request_cluster_send_repeatable(c, 20);
	g_object_unref(s);
	g_free(refusing_address);
	request_cluster_free(c);
}

static const struct {
	const char *state;   /* of the endpoint in the own failure domain */
	const char *control; /* of the relay to the other failure domain */
	const char *answer;  /* expected */
} domain_cases[] = {
	{ "live", "{}", "done" },
	{ "leaving", "{}", "done" },
	/* The other failure domain is cut off; the own one still serves. */
	{ "live", "{\"route\":1,\"mode\":\"cut_up\"}", "done" },
	{ "leaving", "{\"route\":1,\"mode\":\"cut_up\"}", "unknown" },
};

static void send_and_expect(struct request_cluster *c, guint count,
			    const char *answer)
{
	const struct request_call_spec r = { NULL, 0, 5, 800 };

	for (guint i = 0; i < count; i++) {
		struct request_call *call = request_cluster_send(c, 0, &r);

		request_call_wait(call);
		request_call_assert_answer(call, answer, NULL, "repeatable");
		request_call_free(call);
	}
}

/* Another failure domain serves requests only if the own one can't. */
static void test_domains(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(domain_cases); i++) {
		struct request_cluster *c = request_cluster_new();
		guint before;

		request_cluster_add_vm_in_domain(c, "tov-b", "r1", "endpoint",
						 "live",
						 c->relayed_addresses[1]);
		request_cluster_add_vm(c, "r0", "endpoint",
				       domain_cases[i].state,
				       c->relayed_addresses[0]);
		cluster_sleep(1500);
		cluster_control(c->cluster, c->relay_control,
				domain_cases[i].control);
		before = request_cluster_count_runs_at_runner(c, 1);
		send_and_expect(c, 3, domain_cases[i].answer);
		if (g_str_equal(domain_cases[i].state, "live"))
			g_assert_cmpuint(
				request_cluster_count_runs_at_runner(c, 1), ==,
				before);
		request_cluster_free(c);
	}
}

/* A drain completes accepted requests, refuses new ones and exits with 0. */
static void test_drain(void)
{
	struct request_cluster *c = request_cluster_new();
	const struct request_call_spec slow = { NULL, 0, 700, 2500 };
	const struct request_call_spec late = { NULL, 0, 5, DEADLINE_MS };
	struct request_call *calls[8];
	struct request_call *refused;

	for (guint i = 0; i < G_N_ELEMENTS(calls); i++)
		calls[i] = request_cluster_send(c, 0, &slow);
	request_cluster_wait_started(c, "repeatable");
	cluster_sleep(100);
	request_cluster_drain_gateway(c);
	cluster_sleep(100);
	refused = request_cluster_send(c, 0, &late);
	request_call_wait(refused);
	request_call_assert_answer(refused, "not run", "draining", NULL);
	request_call_free(refused);
	for (guint i = 0; i < G_N_ELEMENTS(calls); i++) {
		request_call_wait(calls[i]);
		request_call_assert_answer(calls[i], "done", NULL,
					   "repeatable");
		request_call_free(calls[i]);
	}
	g_assert_cmpint(cluster_wait_exit(c->gateways[0], READY_TIMEOUT_MS), ==,
			0);
	request_cluster_free(c);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(retry_cases); i++)
		g_test_add_data_func(retry_cases[i].path, &retry_cases[i],
				     test_repeatable);
	for (guint i = 0; i < G_N_ELEMENTS(leaving_cases); i++)
		g_test_add_data_func(leaving_cases[i].path, &leaving_cases[i],
				     test_leaving);
	g_test_add_func("/requests-endpoints/queued-leaving",
			test_queued_leaving);
	g_test_add_func("/requests-endpoints/refused-connections",
			test_refused);
	g_test_add_func("/requests-endpoints/failure-domains", test_domains);
	g_test_add_func("/requests-endpoints/drain", test_drain);
	return g_test_run();
}
