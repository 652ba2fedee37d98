#include <gio/gio.h>
#include <string.h>

#include "tests/cluster.h"

#define CALL_TIMEOUT_S 10
#define CONFIG_TIMEOUT_MS 20000
#define HALF_OPEN_PEERS 50
#define OVERSIZE_BYTES (5 << 20)

/* One gateway, one runner and the platform's stand-in, for all test cases. */
struct gateway_fixture {
	struct cluster *cluster;
	struct cluster_process *gateway;
	char *platform;
	char *runner;
	char *address;
	guint done_count; /* requests answered "done", i.e. expected runs */
};

static struct gateway_fixture fixture;

static const char config_body[] =
	"{\"base_version\":0,\"config\":{\"format\":1,\"services\":[{\"name\":"
	"\"salkhi\",\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["
	"{\"name\":\"rescue\",\"service\":\"salkhi\",\"share\":1,"
	"\"requests_per_s\":1000,\"queued_requests\":100,"
	"\"guaranteed_shapes\":[]}],\"jobs\":[]}}";

#define REQUEST(members)                                         \
	"{\"client_account\":\"rescue\",\"service\":\"salkhi\"," \
	"\"class\":\"spot\",\"is_repeatable\":true" members "}"

static const char valid_request[] =
	REQUEST(",\"deadline_ms\":2000,\"payload\":{}");

static gboolean valid_request_is_done(void *data)
{
	struct cluster_reply r = cluster_call(
		fixture.cluster, "POST", fixture.address, "/v1/requests",
		valid_request, NULL, CLUSTER_CALL_TIMEOUT_MS);
	gboolean is_done = r.code == 200;

	if (!is_done)
		g_test_message("status %d, code %u, %s", r.status, r.code,
			       r.body ? json_object_to_json_string(r.body)
				      : "no body");
	fixture.done_count += is_done;
	cluster_reply_clear(&r);
	return is_done;
}

static gboolean config_is_accepted(void *data)
{
	struct cluster_reply r = cluster_call(
		fixture.cluster, "POST", fixture.address, "/v1/config",
		config_body, NULL, CLUSTER_CALL_TIMEOUT_MS);
	gboolean is_accepted = r.code == 200 || r.code == 409;

	cluster_reply_clear(&r);
	return is_accepted;
}

static void fixture_set_up(void)
{
	struct cluster_process *p;
	struct cluster_node_spec node = { .node = "gate" };
	char *link = cluster_reserve_address();
	gboolean is_up;

	fixture.cluster = cluster_new();
	p = cluster_spawn(fixture.cluster, "cs-standin-platform", "platform",
			  NULL);
	fixture.platform = cluster_listen_address(p, 0);
	p = cluster_spawn(fixture.cluster, "cs-standin-runner", "runner",
			  CLUSTER_ARGS("--platform", fixture.platform));
	fixture.runner = cluster_listen_address(p, 0);
	fixture.address = cluster_reserve_address();
	node.http = fixture.address;
	node.link = link;
	node.platform = fixture.platform;
	node.platform_timeout_ms = 1000;
	fixture.gateway = cluster_spawn_node(fixture.cluster, "csgated", &node);
	is_up = cluster_wait(config_is_accepted, NULL, CONFIG_TIMEOUT_MS);
	is_up = is_up &&
		cluster_wait(valid_request_is_done, NULL, CONFIG_TIMEOUT_MS);
	g_assert_true(is_up);
	g_free(link);
}

static void fixture_tear_down(void)
{
	cluster_free(fixture.cluster);
	g_free(fixture.platform);
	g_free(fixture.runner);
	g_free(fixture.address);
}

static GSocketConnection *connect_to_gateway(void)
{
	GSocketClient *client = g_socket_client_new();
	GSocketConnection *c;

	g_socket_client_set_timeout(client, CALL_TIMEOUT_S);
	c = g_socket_client_connect_to_host(client, fixture.address, 80, NULL,
					    NULL);
	g_assert_nonnull(c);
	g_object_unref(client);
	return c;
}

/* Sends bytes and returns all that is received until the peer closes. */
static char *call_raw(const char *text, gsize len)
{
	GSocketConnection *c = connect_to_gateway();
	GOutputStream *out = g_io_stream_get_output_stream(G_IO_STREAM(c));
	GInputStream *in = g_io_stream_get_input_stream(G_IO_STREAM(c));
	GString *answer = g_string_new(NULL);
	char buffer[4096];
	gssize got;

	g_output_stream_write_all(out, text, len, NULL, NULL, NULL);
	while ((got = g_input_stream_read(in, buffer, sizeof(buffer), NULL,
					  NULL)) > 0)
		g_string_append_len(answer, buffer, got);
	g_object_unref(c);
	return g_string_free(answer, FALSE);
}

static guint parse_status_code(const char *answer)
{
	guint64 code = 0;
	char **words = g_strsplit(answer, " ", 3);

	if (words[0] && words[1])
		g_ascii_string_to_unsigned(words[1], 10, 0, 999, &code, NULL);
	g_strfreev(words);
	return (guint)code;
}

/*
 * Checks after a test case that the gateway still runs and serves requests, and
 * that only valid requests reached the runner.
 */
static void check_gateway(void)
{
	struct cluster_reply r;
	gboolean is_done;
	guint runs = 0;

	g_assert_true(cluster_is_running(fixture.gateway));
	is_done = valid_request_is_done(NULL);
	g_assert_true(is_done);
	r = cluster_call(fixture.cluster, "GET", fixture.runner, "/runs", NULL,
			 NULL, CLUSTER_CALL_TIMEOUT_MS);
	json_object_object_foreach(json_object_object_get(r.body, "runs"), id,
				   count)
	{
		(void)id;
		runs += (guint)json_object_get_int(count);
	}
	g_assert_cmpuint(runs, ==, fixture.done_count);
	cluster_reply_clear(&r);
}

struct body_case {
	const char *path; /* of the test case */
	const char *call; /* method and path of the request */
	const char *body;
	const char *expected_text; /* in the answer */
	guint code;
};

#define JOB(members)                                                   \
	"{\"id\":\"j1\",\"client_account\":\"rescue\",\"pool\":"       \
	"\"salkhi.tov-a\",\"class\":\"normal\",\"run_ms\":5,"          \
	"\"expected_run_ms\":5,\"is_checkpointable\":false,\"shape\":" \
	"{" members "}}"
#define SHAPE(members, accelerators)                                 \
	"\"members\":" members ",\"accelerators\":" accelerators "," \
	"\"cores\":1,\"memory_mb\":1,\"adjacency\":\"none\""

static const struct body_case body_cases[] = {
	{ "/bad-input/empty", "POST /v1/requests", "", "text ends early", 400 },
	{ "/bad-input/no-json", "POST /v1/requests", "hello", "findings", 400 },
	{ "/bad-input/cut-off", "POST /v1/requests", "{\"class\":\"sp",
	  "findings", 400 },
	{ "/bad-input/array", "POST /v1/requests", "[]", "an object", 400 },
	{ "/bad-input/duplicate-key", "POST /v1/requests",
	  REQUEST(",\"class\":\"bulk\",\"deadline_ms\":9,\"payload\":1"),
	  "duplicate key", 400 },
	{ "/bad-input/comment", "POST /v1/requests",
	  "/* a */" REQUEST(",\"deadline_ms\":9,\"payload\":1"), "findings",
	  400 },
	{ "/bad-input/unknown-member", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":9,\"payload\":1,\"x\":1"), "unknown member",
	  400 },
	{ "/bad-input/missing-member", "POST /v1/requests", REQUEST(""),
	  "missing", 400 },
	{ "/bad-input/wrong-type", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":\"9\",\"payload\":1"), "an integer", 400 },
	{ "/bad-input/not-whole", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":1.5,\"payload\":1"), "an integer", 400 },
	{ "/bad-input/negative", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":-1,\"payload\":1"), "out of range", 400 },
	{ "/bad-input/absurd", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":1000000000000,\"payload\":1"),
	  "out of range", 400 },
	{ "/bad-input/beyond-64-bits", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":99999999999999999999,\"payload\":1"),
	  "findings", 400 },
	{ "/bad-input/nul", "POST /v1/requests",
	  "{\"client_account\":\"a\\u0000b\"}", "without NUL", 400 },
	{ "/bad-input/utf-8", "POST /v1/requests",
	  "{\"client_account\":\"\xff\xfe\"}", "findings", 400 },
	{ "/bad-input/too-deep", "POST /v1/requests",
	  REQUEST(",\"deadline_ms\":9,\"payload\":[[[[[[[[[[[[[[[[[[[[[]]]]]]]]"
		  "]]]]]]]]]]]]]"),
	  "findings", 400 },
	{ "/bad-input/all-findings", "POST /v1/requests",
	  "{\"class\":\"x\",\"deadline_ms\":-1,\"is_repeatable\":1}",
	  "true or false", 400 },
	{ "/bad-input/unknown-account", "POST /v1/requests",
	  "{\"client_account\":\"nobody\",\"service\":\"salkhi\",\"class\":"
	  "\"spot\",\"is_repeatable\":true,\"deadline_ms\":9,\"payload\":1}",
	  "unknown_account", 404 },
	{ "/bad-input/unknown-service", "POST /v1/requests",
	  "{\"client_account\":\"rescue\",\"service\":\"none\",\"class\":"
	  "\"spot\",\"is_repeatable\":true,\"deadline_ms\":9,\"payload\":1}",
	  "not run", 404 },
	{ "/bad-input/no-key", "POST /v1/requests",
	  "{\"client_account\":\"rescue\",\"service\":\"salkhi\",\"class\":"
	  "\"spot\",\"is_repeatable\":false,\"deadline_ms\":9,\"payload\":1}",
	  "idempotency_key", 400 },
	{ "/bad-input/job-negative", "POST /v1/jobs", JOB(SHAPE("-1", "1")),
	  "findings", 400 },
	{ "/bad-input/job-zero", "POST /v1/jobs", JOB(SHAPE("0", "1")),
	  "findings", 400 },
	{ "/bad-input/job-absurd", "POST /v1/jobs",
	  JOB(SHAPE("1", "1000000000000")), "findings", 400 },
	{ "/bad-input/job-no-shape", "POST /v1/jobs", "{\"id\":\"j\"}",
	  "findings", 400 },
	{ "/bad-input/job-unknown", "POST /v1/jobs",
	  "{\"id\":\"j\",\"job\":\"none\",\"run_ms\":5}", "not run", 400 },
	{ "/bad-input/config-no-object", "POST /v1/config",
	  "{\"base_version\":1,\"config\":3}", "findings", 400 },
	{ "/bad-input/config-bad-base", "POST /v1/config",
	  "{\"base_version\":-7,\"config\":{}}", "findings", 400 },
	{ "/bad-input/config-references", "POST /v1/config",
	  "{\"base_version\":1,\"config\":{\"format\":1,\"services\":[],"
	  "\"client_accounts\":[{\"name\":\"a\",\"service\":\"none\"}],"
	  "\"jobs\":[]}}",
	  "findings", 400 },
	{ "/bad-input/no-such-path", "POST /v1/nothing", "{}", "no such", 404 },
	{ "/bad-input/no-such-method", "DELETE /v1/requests", "{}", "no such",
	  404 },
};

static void test_body(gconstpointer data)
{
	const struct body_case *c = data;
	char *text = g_strdup_printf("%s HTTP/1.1\r\nHost: a\r\nConnection: "
				     "close\r\nContent-Length: %zu\r\n\r\n%s",
				     c->call, strlen(c->body), c->body);
	char *answer = call_raw(text, strlen(text));

	g_test_message("%s", answer);
	g_assert_cmpuint(parse_status_code(answer), ==, c->code);
	g_assert_nonnull(strstr(answer, c->expected_text));
	check_gateway();
	g_free(answer);
	g_free(text);
}

/* Requests that are invalid as HTTP or have an unusual path. */
struct raw_case {
	const char *path; /* of the test case */
	const char *sent;
	guint code; /* 0 when the connection is closed without an answer */
};

static const struct raw_case raw_cases[] = {
	{ "/bad-input/negative-length",
	  "POST /v1/requests HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	  "Content-Length: -5\r\n\r\n",
	  400 },
	{ "/bad-input/length-no-number",
	  "POST /v1/requests HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	  "Content-Length: many\r\n\r\n",
	  400 },
	{ "/bad-input/length-and-chunked",
	  "POST /v1/requests HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	  "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\n\r\n",
	  411 },
	{ "/bad-input/unknown-version",
	  "GET /v1/status HTTP/7.3\r\nHost: a\r\n\r\n", 505 },
	{ "/bad-input/no-headers", "GET /\r\n\r\n", 400 },
	{ "/bad-input/odd-path",
	  "GET /v1/explain/request/%00%ff/../../x HTTP/1.1\r\nHost: a\r\n"
	  "Connection: close\r\n\r\n",
	  404 },
};

static void test_raw(gconstpointer data)
{
	const struct raw_case *c = data;
	char *answer = call_raw(c->sent, strlen(c->sent));

	g_test_message("%s", answer);
	g_assert_cmpuint(parse_status_code(answer), ==, c->code);
	check_gateway();
	g_free(answer);
}

static void test_oversize(void)
{
	char *body = g_strnfill(OVERSIZE_BYTES, ' ');
	char *text = g_strdup_printf("POST /v1/requests HTTP/1.1\r\nHost: a\r\n"
				     "Content-Length: %d\r\n\r\n%s",
				     OVERSIZE_BYTES, body);
	char *answer = call_raw(text, strlen(text));

	g_assert_cmpuint(parse_status_code(answer), ==, 413);
	check_gateway();
	g_free(answer);
	g_free(text);
	g_free(body);
}

/* Clients that stop in the middle of a request don't block others. */
static void test_half_open(void)
{
	static const char half[] = "POST /v1/requests HTTP/1.1\r\nHost: a\r\n"
				   "Content-Length: 500\r\n\r\n{\"client";
	GSocketConnection *peers[HALF_OPEN_PEERS];

	for (guint i = 0; i < HALF_OPEN_PEERS; i++) {
		GOutputStream *out;

		peers[i] = connect_to_gateway();
		out = g_io_stream_get_output_stream(G_IO_STREAM(peers[i]));
		g_output_stream_write_all(out, half, i % 2 ? strlen(half) : 0,
					  NULL, NULL, NULL);
	}
	check_gateway();
	for (guint i = 0; i < HALF_OPEN_PEERS; i++)
		g_object_unref(peers[i]);
	check_gateway();
}

static gboolean valid_request_is_not_done(void *data)
{
	return !valid_request_is_done(NULL);
}

/*
 * Invalid entries of the VM list, and a valid one (e0) with an unknown member,
 * which is ignored.
 */
#define BAD_VMS                                                                \
	"[{\"vm\":\"b0\",\"role\":\"oracle\",\"service\":\"salkhi\","          \
	"\"failure_domain\":\"tov-a\",\"address\":\"127.0.0.1:1\"},"           \
	"{\"vm\":\"b1\",\"role\":\"endpoint\",\"service\":\"salkhi\","         \
	"\"failure_domain\":\"tov-a\",\"address\":\"127.0.0.1:1\","            \
	"\"state\":\"dreaming\"},"                                             \
	"{\"vm\":\"b2\",\"role\":\"endpoint\",\"service\":\"salkhi\","         \
	"\"failure_domain\":\"tov-a\",\"address\":\"no address\"},"            \
	"{\"vm\":\"e0\",\"role\":\"entry\",\"service\":\"other\","             \
	"\"failure_domain\":\"tov-a\",\"address\":\"127.0.0.1:1\",\"zone\":{}" \
	"},"                                                                   \
	"null,7,[],{}]"
#define BAD_VM_COUNT 7
/** Scopes that the gateway reads: its own failure domain and the whole list. */
#define BAD_VM_SCOPES 2

static int64_t read_gateway_counter(const char *name)
{
	static const char call[] = "GET /v1/counters HTTP/1.1\r\nHost: a\r\n"
				   "Connection: close\r\n\r\n";
	char *answer = call_raw(call, strlen(call));
	char *line = g_strdup_printf("\n%s ", name);
	const char *at = strstr(answer, line);
	int64_t value = at ? g_ascii_strtoll(at + strlen(line), NULL, 10) : -1;

	g_free(line);
	g_free(answer);
	return value;
}

/*
 * Bad entries don't stop the gateway from applying the rest of the list: an
 * endpoint that is removed gets no requests, and one that is added again does.
 */
static void test_vm_list(void)
{
	struct cluster_reply r =
		cluster_call(fixture.cluster, "GET", fixture.platform, "/vms",
			     NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
	json_object *vm = json_object_array_get_idx(
		json_object_object_get(r.body, "vms"), 0);
	const char *name =
		json_object_get_string(json_object_object_get(vm, "vm"));
	char *remove = g_strdup_printf(
		"{\"raw_vms\":" BAD_VMS ",\"remove_vms\":[\"%s\"]}", name);
	char *add = g_strdup_printf("{\"add_vms\":[%s]}",
				    json_object_get_string(vm));
	gboolean is_applied;

	cluster_control(fixture.cluster, fixture.platform, remove);
	is_applied = cluster_wait(valid_request_is_not_done, NULL,
				  CONFIG_TIMEOUT_MS);
	g_assert_true(is_applied);
	g_assert_cmpint(read_gateway_counter("cs_vm_list_bad_entries"), ==,
			BAD_VM_COUNT);
	cluster_control(fixture.cluster, fixture.platform, add);
	is_applied =
		cluster_wait(valid_request_is_done, NULL, CONFIG_TIMEOUT_MS);
	g_assert_true(is_applied);
	g_assert_cmpuint(
		cluster_count_lines(fixture.gateway, "vm_list_bad_entries"), ==,
		BAD_VM_SCOPES);
	cluster_control(fixture.cluster, fixture.platform, "{\"raw_vms\":[]}");
	check_gateway();
	cluster_reply_clear(&r);
	g_free(remove);
	g_free(add);
}

int main(int argc, char **argv)
{
	int code;

	g_test_init(&argc, &argv, NULL);
	fixture_set_up();
	for (guint i = 0; i < G_N_ELEMENTS(body_cases); i++)
		g_test_add_data_func(body_cases[i].path, &body_cases[i],
				     test_body);
	for (guint i = 0; i < G_N_ELEMENTS(raw_cases); i++)
		g_test_add_data_func(raw_cases[i].path, &raw_cases[i],
				     test_raw);
	g_test_add_func("/bad-input/oversize", test_oversize);
	g_test_add_func("/bad-input/half-open", test_half_open);
	g_test_add_func("/bad-input/vm-list", test_vm_list);
	code = g_test_run();
	fixture_tear_down();
	return code;
}
