#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "base/json_text.h"
#include "base/log.h"
#include "base/schema.h"
#include "base/util.h"

#define LIST_LENGTH 2000
#define WALL_SAMPLES 2000
#define WALL_PHASES_US 1500

struct sample {
	char *name;
	int64_t count;
	GPtrArray *tags;
};

static const struct field_spec sample_fields[] = {
	{ .name = "name",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct sample, name),
	  .min = 1,
	  .max = 8 },
	{ .name = "count",
	  .type = FIELD_INT,
	  .offset = offsetof(struct sample, count),
	  .min = 0,
	  .max = 10,
	  .fallback = 3 },
	{ .name = "tags",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct sample, tags),
	  .max = 2 },
	{ 0 },
};

static const struct schema sample_schema = { sizeof(struct sample),
					     sample_fields };

struct json_case {
	const char *text;
	enum json_dialect dialect;
	const char *findings; /* all of them, "" if the text is valid */
};

static const struct json_case json_cases[] = {
	{ "{\"name\":\"a\"}", JSON_STRICT, "" },
	{ "{\"name\":\"a\"} // end\n", JSON_WITH_COMMENTS, "" },
	{ "/* a */ {\"name\":\"a\",\n\"count\":11}", JSON_WITH_COMMENTS,
	  "t:2: count: value out of range (allowed: 0 to 10)\n" },
	{ "{\"name\":\"a\",\n\"name\":\"b\"}", JSON_STRICT,
	  "t:2: name: duplicate key (allowed: each key once)\n" },
	{ "{\"count\":\"x\",\n\"other\":1}", JSON_STRICT,
	  "t:2: other: unknown member (allowed: name, count, tags)\n"
	  "t:1: name: missing\n"
	  "t:1: count: wrong type (allowed: an integer)\n" },
	{ "{\"name\":\"far too long\",\"tags\":[\"a\",\"b\",\"c\"]}",
	  JSON_STRICT,
	  "t:1: name: length in bytes out of range (allowed: 1 to 8)\n"
	  "t:1: tags: number of elements out of range (allowed: 0 to 2)\n" },
	{ "{\"name\":\"a\"", JSON_STRICT,
	  "t:1: : text ends early (allowed: one JSON value)\n" },
	{ "{\"name\":\"a\"} x", JSON_STRICT,
	  "t:1: : text after the value (allowed: one JSON value)\n" },
	{ "", JSON_STRICT,
	  "t:1: : text ends early (allowed: one JSON value)\n" },
	{ "[1]", JSON_STRICT, "t:1: : wrong type (allowed: an object)\n" },
	{ "{\"name\":\"a\\u0000b\"}", JSON_STRICT,
	  "t:1: name: invalid UTF-8 or embedded NUL (allowed: UTF-8 without "
	  "NUL)\n" },
};

static void test_json_findings(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(json_cases); i++) {
		const struct json_case *c = &json_cases[i];
		struct finding_list findings;
		struct sample sample = { 0 };
		struct schema_source source;
		struct json_text t;
		char *text;

		finding_list_init(&findings);
		json_text_parse(&t, "t", c->text, strlen(c->text), c->dialect,
				&findings);
		source = json_text_source(&t);
		if (t.root)
			schema_decode(&sample_schema, t.root, &sample, "",
				      &source, &findings);
		text = finding_list_text(&findings);
		g_assert_cmpstr(text, ==, c->findings);
		g_free(text);
		schema_clear(&sample_schema, &sample);
		json_text_clear(&t);
		finding_list_clear(&findings);
	}
}

static const struct {
	const char *text;
	gboolean is_valid;
	uint16_t port;
} address_cases[] = {
	{ "127.0.0.1:80", TRUE, 80 }, { "127.0.0.1:70000", FALSE, 0 },
	{ "localhost:80", FALSE, 0 }, { "127.0.0.1", FALSE, 0 },
	{ ":80", FALSE, 0 },
};

/* Texts and their parsed values, NULL for invalid texts. */
static const char *const value_cases[][2] = {
	{ "{\"a\":[1,{\"b\":null}]}", "{\"a\":[1,{\"b\":null}]}" },
	{ " 7 \n", "7" },
	{ "{\"a\":1,\"a\":2}", "{\"a\":2}" },
	{ "", NULL },
	{ "null", NULL },
	{ "{\"a\":1", NULL },
	{ "{\"a\":1} x", NULL },
	{ "{\"a\":1}{}", NULL },
	{ "/* a */ {}", NULL },
	{ "\"\xff\"", NULL },
	{ "[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]", NULL },
};

static void test_json_value(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(value_cases); i++) {
		const char *text = value_cases[i][0];
		json_object *value = json_text_parse_value(text, strlen(text));
		const char *got = value ? json_object_to_json_string_ext(
						  value, JSON_C_TO_STRING_PLAIN)
					: NULL;

		g_assert_cmpstr(got, ==, value_cases[i][1]);
		json_object_put(value);
	}
}

/* Elements of long lists, of which the parsed value must not take more memory
 * than was estimated from the text. */
static const char *const list_elements[] = {
	"{}",
	"[]",
	"[[]]",
	"0",
	"1.5",
	"\"\"",
	"\"a long string of more than one allocation unit\"",
	"{\"\":0}",
	"{\"a\":1,\"b\":2,\"c\":[{}]}",
};

static size_t allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void test_json_parsed_bytes(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(list_elements); i++) {
		GString *text = g_string_new("[0");
		json_object *value;
		size_t before;
		size_t used;

		for (guint j = 0; j < LIST_LENGTH; j++)
			g_string_append_printf(text, ",%s", list_elements[i]);
		g_string_append_c(text, ']');
		before = allocated_bytes();
		value = json_text_parse_value(text->str, text->len);
		used = allocated_bytes() - before;
		g_assert_nonnull(value);
		g_test_message("%s: %zu", list_elements[i], used);
#ifndef __SANITIZE_ADDRESS__ /* has an allocator of its own */
		g_assert_cmpuint(json_text_parsed_bytes(text->str, text->len),
				 >=, used);
#endif
		json_object_put(value);
		g_string_free(text, TRUE);
	}
}

static void test_addresses(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(address_cases); i++) {
		char *host = NULL;
		uint16_t port = 0;

		g_assert_cmpint(util_parse_endpoint(address_cases[i].text,
						    &host, &port),
				==, address_cases[i].is_valid);
		g_assert_cmpuint(port, ==, address_cases[i].port);
		g_free(host);
	}
}

/*
 * Guards against rows and logs in which a job starts before its submission: an
 * offset of the clocks that is taken first may not date a later event before
 * util_wall_ms(), at any phase of the two clocks' milliseconds.
 */
static void test_wall_at(void)
{
	for (int i = 0; i < WALL_SAMPLES; i++) {
		int64_t start_us = g_get_monotonic_time();
		int64_t now_ms = util_monotonic_ms();
		int64_t offset_ms = util_wall_at_ms(now_ms) - now_ms;
		int64_t taken_us = g_get_monotonic_time() - start_us;
		int64_t wall_ms;
		int64_t event_ms;

		while (g_get_monotonic_time() - start_us < i % WALL_PHASES_US)
			;
		wall_ms = util_wall_ms();
		event_ms = util_monotonic_ms() + offset_ms;
		g_assert_cmpint(event_ms, >=, wall_ms);
		g_assert_cmpint(event_ms, <=,
				util_wall_ms() + 1 + taken_us / US_PER_MS + 1);
	}
}

static void test_log_line(void)
{
	struct log_line line;

	if (g_test_subprocess()) {
		log_open("n1", LOG_LEVEL_INFO);
		log_begin(&line, LOG_LEVEL_INFO, "route");
		log_str(&line, "plain", "a-b.c");
		log_str(&line, "quoted", "a b=\"c\"\n");
		log_int(&line, "count", -3);
		log_end(&line);
		log_begin(&line, LOG_LEVEL_DEBUG, "below_the_level");
		log_end(&line);
		log_close();
		return;
	}
	g_test_trap_subprocess(NULL, 0, 0);
	g_test_trap_assert_passed();
	g_test_trap_assert_stderr(
		"time_ms=1* level=info node=n1 event=route plain=a-b.c "
		"quoted=\"a b=\\\"c\\\"\\n\" count=-3\n");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/base/json-findings", test_json_findings);
	g_test_add_func("/base/json-value", test_json_value);
	g_test_add_func("/base/json-parsed-bytes", test_json_parsed_bytes);
	g_test_add_func("/base/addresses", test_addresses);
	g_test_add_func("/base/wall-at", test_wall_at);
	g_test_add_func("/base/log-line", test_log_line);
	return g_test_run();
}
