/* Table-driven tests of the decoding of workers' registrations. */
#include <glib.h>
#include <string.h>

#include "base/json_text.h"
#include "platform/wire_worker.h"

#define REGISTRATION(address, capacity, rest)                             \
	"{\"Service\":\"salkhi\",\"Zone\":\"tov-a\",\"State\":\"ready\"," \
	"\"Address\":" address ",\"Capacity\":" capacity rest "}"
#define ADDRESS "\"127.0.0.1:8000\""
#define CAPACITY "{\"Cpu\":64000,\"MemMb\":131072,\"Gpu\":8}"

/* Registrations as other writers may leave them. */
static const struct {
	const char *name;
	const char *text;
	gboolean is_valid;
} cases[] = {
	{ "usual",
	  REGISTRATION(ADDRESS, CAPACITY,
		       ",\"Labels\":[\"a\",\"r1\"],\"born\":1700000000000"),
	  TRUE },
	{ "without accelerators",
	  REGISTRATION(ADDRESS, "{\"Cpu\":1,\"MemMb\":1}", ""), TRUE },
	{ "port too large", REGISTRATION("\"127.0.0.1:65536\"", CAPACITY, ""),
	  FALSE },
	{ "port 0", REGISTRATION("\"127.0.0.1:0\"", CAPACITY, ""), FALSE },
	{ "negative port", REGISTRATION("\"127.0.0.1:-1\"", CAPACITY, ""),
	  FALSE },
	{ "no port", REGISTRATION("\"127.0.0.1\"", CAPACITY, ""), FALSE },
	{ "no host", REGISTRATION("\":8000\"", CAPACITY, ""), FALSE },
	{ "host name", REGISTRATION("\"worker.example:8000\"", CAPACITY, ""),
	  FALSE },
	{ "address is a list", REGISTRATION("[]", CAPACITY, ""), FALSE },
	{ "capacity over 64 bits",
	  REGISTRATION(ADDRESS, "{\"Cpu\":99999999999999999999,\"MemMb\":1}",
		       ""),
	  FALSE },
	{ "capacity overflows a sum",
	  REGISTRATION(ADDRESS, "{\"Cpu\":9223372036854775807,\"MemMb\":1}",
		       ""),
	  FALSE },
	{ "negative capacity",
	  REGISTRATION(ADDRESS, "{\"Cpu\":-1,\"MemMb\":1}", ""), FALSE },
	{ "accelerators overflow",
	  REGISTRATION(ADDRESS,
		       "{\"Cpu\":1,\"MemMb\":1,\"Gpu\":9223372036854775807}",
		       ""),
	  FALSE },
	{ "capacity is a real",
	  REGISTRATION(ADDRESS, "{\"Cpu\":1e300,\"MemMb\":1}", ""), FALSE },
	{ "drain time too large",
	  REGISTRATION(ADDRESS, CAPACITY,
		       ",\"DrainRemainingMs\":9223372036854775807"),
	  FALSE },
	{ "start time too large",
	  REGISTRATION(ADDRESS, CAPACITY, ",\"born\":9223372036854775807"),
	  FALSE },
	{ "start time is a text",
	  REGISTRATION(ADDRESS, CAPACITY, ",\"born\":\"1700000000000\""),
	  FALSE },
	{ "labels of other types",
	  REGISTRATION(ADDRESS, CAPACITY, ",\"Labels\":[1,{},[],null,\"r1\"]"),
	  TRUE },
	{ "unknown state",
	  "{\"Service\":\"salkhi\",\"Zone\":\"tov-a\",\"State\":\"odd\","
	  "\"Address\":" ADDRESS ",\"Capacity\":" CAPACITY "}",
	  FALSE },
	{ "no object", "[1,2]", FALSE },
	{ "text", "\"ready\"", FALSE },
};

static gboolean decode(const char *text)
{
	struct worker_registration reg = { 0 };
	json_object *body = json_text_parse_value(text, strlen(text));
	gboolean is_valid = wire_worker_registration(body, &reg);

	worker_registration_clear(&reg);
	json_object_put(body);
	return is_valid;
}

static void test_registrations(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_test_message("%s", cases[i].name);
		g_assert_cmpint(decode(cases[i].text), ==, cases[i].is_valid);
	}
}

/* Neither nesting nor cut-off text may exhaust the stack or be accepted. */
static void test_deep_nesting(void)
{
	static const guint depths[] = { 10, 1000, 30000 };

	for (guint i = 0; i < G_N_ELEMENTS(depths); i++) {
		char *open = g_strnfill(depths[i], '[');
		char *close = g_strnfill(depths[i], ']');
		char *whole = g_strconcat(open, close, NULL);

		g_assert_false(decode(open));
		g_assert_false(decode(whole));
		g_free(open);
		g_free(close);
		g_free(whole);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wire-worker/registrations", test_registrations);
	g_test_add_func("/wire-worker/deep-nesting", test_deep_nesting);
	return g_test_run();
}
