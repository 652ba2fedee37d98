/*
 * Sends randomly changed requests, from headers to bodies, and raw bytes to all
 * ports of running csentryd processes. No message may end a process, and valid
 * requests beside them are served.
 */
#include <gio/gio.h>
#include <stdlib.h>
#include <string.h>

#include "tests/entry_site.h"

#define DEFAULT_SEEDS 300
#define MAX_CHANGES 4
/* Time for an answer to one message, which need not come. */
#define ANSWER_TIMEOUT_S 1
/* Valid jobs beside the messages, one after each group of so many seeds. */
#define SEEDS_PER_JOB 100
#define MAX_FILLER_BYTES 70000

#define POST_LINE "POST /spot/%016x HTTP/1.1\r\n"
#define HEADERS                                                   \
	"Host: wind.example\r\nAuthorization: Token k1\r\n"       \
	"Deadline-Ms: 3000\r\nContent-Type: application/json\r\n" \
	"Cs-Client-Host: wind.example\r\nCs-Config-Version: 1\r\n"
#define JOB_BODY                                                        \
	"{\"Spec\":\"run_ms=50\",\"Steps\":[{\"Count\":1,\"Cpu\":1000," \
	"\"MemMb\":100,\"Gpu\":1,\"EstimateMs\":50,\"Gang\":true,"      \
	"\"MaxPerServer\":2},{\"Count\":1,\"Cpu\":10,\"After\":[0]}],"  \
	"\"RepeatCount\":0}"

/* Valid messages; %016x is a job's id, %u the length of the body. */
static const char *const messages[] = {
	POST_LINE HEADERS "Content-Length: %u\r\n\r\n" JOB_BODY,
	"GET /spot/%016x HTTP/1.1\r\n" HEADERS "\r\n",
	"GET /spot/ HTTP/1.1\r\nX-Id: %016x\r\n" HEADERS "\r\n",
	"DELETE /spot/%016x HTTP/1.1\r\n" HEADERS "\r\n",
	"GET /metrics HTTP/1.1\r\nX-Id: %016x\r\n" HEADERS "\r\n",
	/* A frame with a hello of the delegates' protocol. */
	"\001\002\003%016x\x81\xa5token\xa1x",
};

/* Texts that replace a part of a message, or are put into it. */
static const char *const odd_texts[] = {
	"",
	"\r\n",
	"\r\n\r\n",
	"\n",
	":",
	": ",
	" ",
	"/",
	"//",
	"/../",
	"%00",
	"%zz",
	"%ff%fe",
	"?a=b&c",
	"#",
	"\xff\xfe",
	"\xc3\x28",
	"-1",
	"0",
	"65536",
	"4294967296",
	"9223372036854775807",
	"9223372036854775808",
	"99999999999999999999999",
	"1e999",
	"NaN",
	"null",
	"true",
	"\"",
	"\\u0000",
	"\\ud800",
	"{",
	"}",
	"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[",
	"[]",
	"{}",
	"Content-Length: 5\r\n",
	"Content-Length: -5\r\n",
	"Content-Length: 18446744073709551615\r\n",
	"Transfer-Encoding: chunked\r\n",
	"Transfer-Encoding: identity, chunked\r\n",
	"Expect: 100-continue\r\n",
	"Connection: close\r\n",
	"Connection: upgrade\r\nUpgrade: h2c\r\n",
	"Host: \r\n",
	"Host: [::1]:99999\r\n",
	"Authorization: Token \r\n",
	"Authorization: Token \xff\r\n",
	"Deadline-Ms: -9223372036854775808\r\n",
	"Deadline-Ms: 9223372036854775807\r\n",
	"Deadline-Ms: 1\r\n",
	"Cs-Config-Version: -1\r\n",
	"Cs-Config-Version: 9223372036854775807\r\n",
	"HTTP/1.0",
	"HTTP/9.9",
	"HTTP/2",
	"OPTIONS * HTTP/1.1",
	"CONNECT a:1 HTTP/1.1",
	"GET http://x:99999/spot/ HTTP/1.1",
	"\x16\x03\x01\x02\x00\x01",
};

/* Replaces some bytes of a message, or puts some in, at a random place. */
static void change(GRand *rng, GString *text)
{
	gsize at = text->len ? g_rand_int_range(rng, 0, (gint32)text->len) : 0;
	gsize left = text->len - at;
	const char *odd =
		odd_texts[g_rand_int_range(rng, 0, G_N_ELEMENTS(odd_texts))];
	char *line;

	switch (g_rand_int_range(rng, 0, 6)) {
	case 0: /* a byte */
		if (left)
			text->str[at] = (char)g_rand_int_range(rng, 0, 256);
		break;
	case 1:
		g_string_truncate(text, at);
		break;
	case 2: /* before a line, where headers are valid */
		line = strchr(text->str + at, '\n');
		g_string_insert(text, line ? line + 1 - text->str : (gssize)at,
				odd);
		break;
	case 3:
		g_string_erase(text, (gssize)at, (gssize)MIN(left, 8));
		g_string_insert(text, (gssize)at, odd);
		break;
	case 4:
		line = g_strnfill(g_rand_int_range(rng, 1, MAX_FILLER_BYTES),
				  "a[ 9"[g_rand_int_range(rng, 0, 4)]);
		g_string_insert(text, (gssize)at, line);
		g_free(line);
		break;
	default:
		g_string_insert(text, (gssize)at, odd);
	}
}

static GString *make_message(GRand *rng, guint seed)
{
	const char *format =
		messages[g_rand_int_range(rng, 0, G_N_ELEMENTS(messages))];
	GString *text = g_string_new(NULL);

	g_string_printf(text, format, seed,
			(guint)strlen(JOB_BODY)); /* NOLINT */
	for (gint32 i = g_rand_int_range(rng, 0, MAX_CHANGES); i > 0; i--)
		change(rng, text);
	return text;
}

/* Sends bytes, half of the time in two parts, and reads what comes back. */
static void exchange(GSocketClient *client, GRand *rng, const char *address,
		     const GString *text)
{
	GError *error = NULL;
	GSocketConnection *c = g_socket_client_connect_to_host(client, address,
							       0, NULL, &error);
	GOutputStream *out;
	gsize first = g_rand_boolean(rng) ? text->len / 2 : text->len;
	char answer[4096];

	g_assert_no_error(error);
	out = g_io_stream_get_output_stream(G_IO_STREAM(c));
	/* A server that has refused the first part may have closed already. */
	if (g_output_stream_write_all(out, text->str, first, NULL, NULL, NULL))
		g_output_stream_write_all(out, text->str + first,
					  text->len - first, NULL, NULL, NULL);
	if (g_rand_boolean(rng))
		g_socket_shutdown(g_socket_connection_get_socket(c), FALSE,
				  TRUE, NULL);
	if (g_rand_boolean(rng))
		g_input_stream_read(
			g_io_stream_get_input_stream(G_IO_STREAM(c)), answer,
			sizeof(answer), NULL, NULL);
	g_object_unref(c);
}

static guint env_number(const char *name, guint fallback)
{
	const char *text = g_getenv(name);

	return text ? (guint)strtoul(text, NULL, 10) : fallback;
}

static void assert_served(struct site *s, guint seed)
{
	char *id = g_strdup_printf("f%015x", seed);

	for (guint i = 0; i < SITE_ENTRIES; i++) {
		g_assert_true(cluster_is_running(s->entries[i]));
		g_assert_cmpuint(site_submit(s, i, id, 50), ==, 200);
		site_assert_state(s, i, id, "completed");
		g_assert_cmpuint(cluster_count_lines(s->entries[i], "CRITICAL"),
				 ==, 0);
	}
	g_free(id);
}

static void test_messages(void)
{
	struct site *s = site_new_delegating(1);
	GSocketClient *client = g_socket_client_new();
	guint first = env_number("CS_SEED", 1);
	guint seeds = env_number("CS_SEEDS", DEFAULT_SEEDS);

	g_socket_client_set_timeout(client, ANSWER_TIMEOUT_S);
	for (guint seed = first; seed < first + seeds; seed++) {
		const char *const ports[] = {
			s->frontends[seed % SITE_ENTRIES],
			s->forwards[seed % SITE_ENTRIES],
			s->readiness[seed % SITE_ENTRIES],
			s->internal[seed % SITE_ENTRIES]
		};
		GRand *rng = g_rand_new_with_seed(seed);
		GString *text = make_message(rng, seed);
		guint port = g_rand_int_range(rng, 0, G_N_ELEMENTS(ports));

		g_test_message("seed %u", seed);
		exchange(client, rng, ports[port], text);
		if (seed % SEEDS_PER_JOB == 0)
			assert_served(s, seed);
		g_string_free(text, TRUE);
		g_rand_free(rng);
	}
	assert_served(s, first + seeds);
	g_object_unref(client);
	site_free(s);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-input/messages", test_messages);
	return g_test_run();
}
