/*
 * Crowds of clients that keep no limits, against each program's own ports with
 * lowered limits. The process must live, stay within its memory, with what the
 * kernel holds for it, and its descriptors, and answer a request afterwards.
 */
#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string.h>

#include "tests/crowd.h"
#include "tests/entry_site.h"

#define MEMORY_MB 32
#define DESCRIPTORS 256
#define FEW_DESCRIPTORS 128
#define MAX_LOG_BYTES 65536
#define KB_PER_MB INT64_C(1024)
#define MAX_PORTS 4
#define FRAME_BYTES ((gsize)4 << 20)

#define JOB_PATH "/spot/00000000000000aa"
#define REQUEST_PATH "/v1/requests"
#define HEADERS                                              \
	" HTTP/1.1\r\nHost: wind.example\r\nAuthorization: " \
	"Token k1\r\nContent-Type: application/json\r\n"
/* A block is repeated until it has at least so many bytes. */
#define BLOCK_BYTES 65536

enum port {
	PORT_FRONTEND,
	PORT_FORWARD,
	PORT_READINESS,
	PORT_INTERNAL,
	PORT_HTTP, /* of csgated and csschedd */
	PORT_LINK, /* the same */
	PORT_COUNT,
};

/* Makes what each client of a case sends; a body goes to @path. */
typedef void (*message_fn)(struct crowd_message *m, const char *path);

struct limit_case {
	const char *path;
	const char *program;
	guint ports; /* set of bits, 1 << enum port */
	guint connections;
	message_fn make;
	guint max_descriptors; /* of the kernel, or 0 */
};

/* The program under test and the processes that it needs. */
struct target {
	struct cluster *cluster;
	struct site *site; /* of csentryd, else NULL */
	struct cluster_process *process;
	char *addresses[PORT_COUNT]; /* NULL where it has no such port */
};

static void append_length(GString *frame, gsize length)
{
	guint32 big_endian = GUINT32_TO_BE((guint32)length);

	g_string_append_len(frame, (const char *)&big_endian,
			    sizeof(big_endian));
}

/* A frame's length, version and type, for a body of some bytes. */
static void append_frame_header(GString *frame, gsize body_bytes)
{
	append_length(frame, body_bytes + 2);
	g_string_append_len(frame, "\x01\x01", 2);
}

static void start_post(struct crowd_message *m, const char *path)
{
	g_string_printf(m->start, "POST %s" HEADERS, path);
}

static void repeat_block(GString *block)
{
	while (block->len > 0 && block->len < BLOCK_BYTES)
		g_string_append_len(block, block->str, (gssize)block->len);
}

static void make_nothing(struct crowd_message *m, const char *path)
{
	m->bytes = 0;
}

static void make_endless_head(struct crowd_message *m, const char *path)
{
	start_post(m, path);
	g_string_assign(m->block, "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
	m->bytes = 60000;
}

static void make_endless_line(struct crowd_message *m, const char *path)
{
	start_post(m, path);
	g_string_append(m->start, "X-Filler: ");
	g_string_assign(m->block, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa");
	m->bytes = 60000;
}

static void make_empty_lines(struct crowd_message *m, const char *path)
{
	g_string_assign(m->block, "\r\n");
	m->bytes = 4 << 20;
}

static void make_many_fields(struct crowd_message *m, const char *path)
{
	start_post(m, path);
	g_string_append(m->start, "Content-Length: 100\r\n");
	for (guint i = 0; i < 12000; i++)
		g_string_append(m->start, "a:\r\n");
	g_string_append(m->start, "\r\n{");
	m->bytes = m->start->len;
}

static void make_unfinished_body(struct crowd_message *m, const char *path)
{
	start_post(m, path);
	g_string_append(m->start, "Content-Length: 1000000\r\n\r\n");
	g_string_assign(m->block, "[\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\",");
	m->bytes = 999000;
}

/* A body that is refused for its size, without end. */
static void make_endless_body(struct crowd_message *m, const char *path)
{
	start_post(m, path);
	g_string_append(m->start, "Content-Length: 100000000000\r\n\r\n");
	g_string_assign(m->block, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n");
	m->bytes = (gsize)1 << 30;
}

static void make_pipeline(struct crowd_message *m, const char *path)
{
	g_string_assign(m->block, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n");
	m->bytes = 8 << 20;
}

/* Makes a request with a body of a start, a repeated element and an end. */
static void make_long_body(struct crowd_message *m, const char *path,
			   const char *start, const char *element, guint count,
			   const char *end)
{
	GString *body = g_string_new(start);

	for (guint i = 0; i < count; i++)
		g_string_append(body, element);
	g_string_append(body, end);
	start_post(m, path);
	g_string_append_printf(m->start, "Content-Length: %zu\r\n\r\n",
			       body->len);
	g_string_append_len(m->start, body->str, (gssize)body->len);
	m->bytes = m->start->len;
	g_string_free(body, TRUE);
}

/* A job with one more member, whose name is long and whose value is a list. */
static void make_long_name(struct crowd_message *m, const char *path)
{
	char *name = g_strnfill(30000, 'a');
	char *start = g_strdup_printf(
		"{\"Spec\":\"\",\"Steps\":[{\"Count\":1}],\"%s\":[0", name);

	make_long_body(m, path, start, ",0", 15000, "]}");
	g_free(start);
	g_free(name);
}

static void make_empty_objects(struct crowd_message *m, const char *path)
{
	make_long_body(m, path, "{\"Spec\":\"\",\"Steps\":[{}", ",{}", 300000,
		       "]}");
}

/* One problem in each of many members, all in the answer. */
static void make_many_findings(struct crowd_message *m, const char *path)
{
	make_long_body(m, path, "{\"a\":0", ",\"a\":0", 100000, "}");
}

/* A frame with an array of empty maps, each of one byte. */
static void make_map_frame(struct crowd_message *m, const char *path)
{
	append_frame_header(m->start, FRAME_BYTES);
	g_string_append_c(m->start, '\xdd');
	append_length(m->start, FRAME_BYTES - 5);
	for (gsize i = 0; i < FRAME_BYTES - 5; i++)
		g_string_append_c(m->start, '\x80');
	m->bytes = m->start->len;
}

static void make_unfinished_frame(struct crowd_message *m, const char *path)
{
	append_frame_header(m->start, FRAME_BYTES);
	g_string_append_c(m->start, '\xc6');
	append_length(m->start, FRAME_BYTES - 5);
	g_string_assign(m->block, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa");
	m->bytes = FRAME_BYTES - 1000;
}

#define ENTRY "csentryd"
#define GATEWAY "csgated"
#define SCHEDULER "csschedd"
#define FRONTEND (1 << PORT_FRONTEND)
#define FORWARD (1 << PORT_FORWARD)
#define READINESS (1 << PORT_READINESS)
#define INTERNAL (1 << PORT_INTERNAL)
#define HTTP (1 << PORT_HTTP)
#define LINK (1 << PORT_LINK)

static const struct limit_case cases[] = {
	{ "/client-limits/endless-head", ENTRY, FRONTEND, 600,
	  make_endless_head, 0 },
	{ "/client-limits/endless-line", ENTRY, FRONTEND, 600,
	  make_endless_line, 0 },
	{ "/client-limits/empty-lines", ENTRY, FRONTEND, 600, make_empty_lines,
	  0 },
	{ "/client-limits/many-fields", ENTRY, FRONTEND, 100, make_many_fields,
	  0 },
	{ "/client-limits/unfinished-bodies", ENTRY, FRONTEND, 100,
	  make_unfinished_body, 0 },
	{ "/client-limits/unfinished-forwarded", ENTRY, FORWARD, 100,
	  make_unfinished_body, 0 },
	{ "/client-limits/unfinished-readiness", ENTRY, READINESS, 100,
	  make_unfinished_body, 0 },
	{ "/client-limits/endless-body", ENTRY, FRONTEND, 20, make_endless_body,
	  0 },
	{ "/client-limits/untaken-answers", ENTRY, FRONTEND, 50, make_pipeline,
	  0 },
	{ "/client-limits/untaken-metrics", ENTRY, READINESS, 50, make_pipeline,
	  0 },
	{ "/client-limits/connections", ENTRY,
	  FRONTEND | FORWARD | READINESS | INTERNAL, 150, make_nothing, 0 },
	{ "/client-limits/long-name", ENTRY, FRONTEND, 1, make_long_name, 0 },
	{ "/client-limits/empty-objects", ENTRY, FRONTEND, 1,
	  make_empty_objects, 0 },
	{ "/client-limits/many-findings", ENTRY, FRONTEND, 20,
	  make_many_findings, 0 },
	{ "/client-limits/map-frame", ENTRY, INTERNAL, 1, make_map_frame, 0 },
	{ "/client-limits/unfinished-frames", ENTRY, INTERNAL, 16,
	  make_unfinished_frame, 0 },
	{ "/client-limits/gateway/many-fields", GATEWAY, HTTP, 100,
	  make_many_fields, 0 },
	{ "/client-limits/gateway/unfinished-bodies", GATEWAY, HTTP, 100,
	  make_unfinished_body, 0 },
	{ "/client-limits/gateway/empty-objects", GATEWAY, HTTP, 1,
	  make_empty_objects, 0 },
	{ "/client-limits/gateway/connections", GATEWAY, HTTP | LINK, 300,
	  make_nothing, 0 },
	{ "/client-limits/gateway/map-frame", GATEWAY, LINK, 1, make_map_frame,
	  0 },
	{ "/client-limits/gateway/unfinished-frames", GATEWAY, LINK, 16,
	  make_unfinished_frame, 0 },
	{ "/client-limits/few-descriptors", ENTRY,
	  FRONTEND | FORWARD | READINESS | INTERNAL, 150, make_nothing,
	  FEW_DESCRIPTORS },
	{ "/client-limits/gateway/few-descriptors", GATEWAY, HTTP | LINK, 300,
	  make_nothing, FEW_DESCRIPTORS },
	{ "/client-limits/scheduler/unfinished-bodies", SCHEDULER, HTTP, 100,
	  make_unfinished_body, 0 },
	{ "/client-limits/scheduler/unfinished-frames", SCHEDULER, LINK, 16,
	  make_unfinished_frame, 0 },
};

static void target_start_entry(struct target *t)
{
	t->site = site_new_limited(MEMORY_MB, DESCRIPTORS);
	t->cluster = t->site->cluster;
	t->process = t->site->entries[0];
	t->addresses[PORT_FRONTEND] = g_strdup(t->site->frontends[0]);
	t->addresses[PORT_FORWARD] = g_strdup(t->site->forwards[0]);
	t->addresses[PORT_READINESS] = g_strdup(t->site->readiness[0]);
	t->addresses[PORT_INTERNAL] = g_strdup(t->site->internal[0]);
}

/* Returns whether a gateway or scheduler answers an operator's call. */
static gboolean answers_operator(void *data)
{
	struct target *t = data;
	struct cluster_reply r = cluster_call(
		t->cluster, "GET", t->addresses[PORT_HTTP], "/v1/counters",
		NULL, NULL, CLUSTER_CALL_TIMEOUT_MS);
	gboolean has_answered = r.code == 200;

	cluster_reply_clear(&r);
	return has_answered;
}

static void target_start_node(struct target *t, const char *program)
{
	struct cluster_node_spec node = {
		.node = "n0",
		.memory_mb = MEMORY_MB,
		.descriptors = DESCRIPTORS,
	};
	struct cluster_process *platform;
	char *address;

	t->cluster = cluster_new();
	platform = cluster_spawn(t->cluster, "cs-standin-platform", "platform",
				 NULL);
	address = cluster_listen_address(platform, 0);
	t->addresses[PORT_HTTP] = cluster_reserve_address();
	t->addresses[PORT_LINK] = cluster_reserve_address();
	node.platform = address;
	node.http = t->addresses[PORT_HTTP];
	node.link = t->addresses[PORT_LINK];
	t->process = cluster_spawn_node(t->cluster, program, &node);
	g_assert_true(cluster_wait(answers_operator, t, SITE_WAIT_MS));
	g_free(address);
}

static void target_clear(struct target *t)
{
	if (t->site)
		site_free(t->site);
	else
		cluster_free(t->cluster);
	for (guint i = 0; i < PORT_COUNT; i++)
		g_free(t->addresses[i]);
}

static void assert_answers(struct target *t)
{
	g_assert_true(cluster_is_running(t->process));
	if (!t->site) {
		g_assert_true(answers_operator(t));
		return;
	}
	g_assert_cmpuint(site_submit(t->site, 0, "00000000000000ff", 50), ==,
			 200);
	site_assert_state(t->site, 0, "00000000000000ff", "completed");
}

/* Limits that are reached are logged now and then, other than requests. */
static void assert_log_is_short(const struct target *t)
{
	GStatBuf info;

	g_assert_cmpint(g_stat(t->process->log_path, &info), ==, 0);
	g_assert_cmpint(info.st_size, <=, MAX_LOG_BYTES);
}

static void assert_within_limits(const struct limit_case *c,
				 const struct process_usage_peak *peak)
{
	guint max = c->max_descriptors ? c->max_descriptors - 1 : DESCRIPTORS;

	g_test_message("memory %" G_GINT64_FORMAT
		       " KB, kernel %" G_GINT64_FORMAT " KB, descriptors %u",
		       peak->memory_kb, peak->queued_kb, peak->descriptors);
	g_assert_cmpuint(peak->descriptors, <=, max);
#ifndef __SANITIZE_ADDRESS__ /* keeps freed blocks and adds its own data */
	g_assert_cmpint(peak->memory_kb + peak->queued_kb, <=,
			MEMORY_MB * KB_PER_MB);
#endif
}

static void test_limit(gconstpointer data)
{
	const struct limit_case *c = data;
	const char *addresses[MAX_PORTS + 1] = { NULL };
	struct crowd_message message = { g_string_new(NULL), g_string_new(NULL),
					 0 };
	struct process_usage_peak peak;
	struct target t = { 0 };
	guint n = 0;

	cluster_limit_descriptors(c->max_descriptors);
	if (g_str_equal(c->program, ENTRY))
		target_start_entry(&t);
	else
		target_start_node(&t, c->program);
	cluster_limit_descriptors(0);
	for (guint i = 0; i < PORT_COUNT; i++) {
		if (c->ports & (1U << i))
			addresses[n++] = t.addresses[i];
	}
	c->make(&message, t.site ? JOB_PATH : REQUEST_PATH);
	repeat_block(message.block);
	peak = crowd_run(addresses, c->connections, &message, t.process);
	assert_answers(&t);
	assert_within_limits(c, &peak);
	if (c->make == make_nothing)
		assert_log_is_short(&t);
	g_string_free(message.start, TRUE);
	g_string_free(message.block, TRUE);
	target_clear(&t);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	/* A case that fails must not keep the others from running. */
	g_test_set_nonfatal_assertions();
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].path, &cases[i], test_limit);
	return g_test_run();
}
