#include <glib.h>
#include <string.h>

#include "link/frame.h"
#include "link/link_identity.h"
#include "link/pack.h"

#define MAX_BODY 1024

struct frame_case {
	const char *name;
	const char *bytes;
	gsize len;
	enum status status;
};

static const struct frame_case frame_cases[] = {
	{ "whole", "\0\0\0\003\001\007x", 7, STATUS_OK },
	{ "empty body", "\0\0\0\002\001\007", 6, STATUS_OK },
	{ "truncated header", "\0\0\0\003\001", 5, STATUS_NOT_FOUND },
	{ "truncated body", "\0\0\0\004\001\007x", 7, STATUS_NOT_FOUND },
	{ "length too small", "\0\0\0\001\001\007x", 7, STATUS_INVALID },
	{ "length too large", "\0\0\020\0\001\007x", 7, STATUS_INVALID },
	{ "unsupported version", "\0\0\0\003\002\007x", 7, STATUS_INVALID },
};

static void test_frame_cases(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
		const struct frame_case *c = &frame_cases[i];
		struct frame_reader r;
		struct frame f = { 0 };

		g_test_message("%s", c->name);
		frame_reader_init(&r, MAX_BODY);
		frame_reader_feed(&r, c->bytes, c->len);
		g_assert_cmpint(frame_reader_next(&r, &f), ==, c->status);
		/* A corrupt stream stays corrupt. */
		frame_reader_feed(&r, frame_cases[0].bytes, frame_cases[0].len);
		if (c->status == STATUS_INVALID)
			g_assert_cmpint(frame_reader_next(&r, &f), ==,
					STATUS_INVALID);
		frame_clear(&f);
		frame_reader_clear(&r);
	}
}

static void test_frame_bytewise(void)
{
	GByteArray *out = g_byte_array_new();
	struct frame_reader r;
	guint seen = 0;

	frame_write(out, 1, "one", 3);
	frame_write(out, 2, "", 0);
	frame_write(out, 3, "three", 5);
	frame_reader_init(&r, MAX_BODY);
	for (guint i = 0; i < out->len; i++) {
		struct frame f = { 0 };

		frame_reader_feed(&r, out->data + i, 1);
		while (frame_reader_next(&r, &f) == STATUS_OK) {
			seen++;
			g_assert_cmpint(f.type, ==, seen);
			frame_clear(&f);
		}
	}
	g_assert_cmpint(seen, ==, 3);
	frame_reader_clear(&r);
	g_byte_array_unref(out);
}

static const char *const pack_cases[] = {
	"{\"a\":1,\"b\":-5,\"c\":[true,false,null,\"x\"],\"d\":{\"e\":1.5}}",
	"[]",
	"{\"text\":\"L\xc3\xa0g\xc3\xb3s\"}",
	"9223372036854775807",
};

static void test_pack_round_trip(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(pack_cases); i++) {
		json_object *in = json_tokener_parse(pack_cases[i]);
		GByteArray *bytes = pack_encode(in);
		json_object *out = pack_decode(bytes->data, bytes->len);

		g_assert_true(json_object_equal(in, out));
		/* Every truncation and an extra byte are rejected. */
		for (guint len = 0; len < bytes->len; len++) {
			json_object *cut = pack_decode(bytes->data, len);

			g_assert_null(cut);
		}
		g_byte_array_append(bytes, (const guint8 *)"\1", 1);
		g_assert_null(pack_decode(bytes->data, bytes->len));
		json_object_put(in);
		json_object_put(out);
		g_byte_array_unref(bytes);
	}
}

static void test_pack_refuses(void)
{
	static const struct {
		const char *bytes;
		gsize len;
	} cases[] = {
		{ "\x81\x01\x01", 3 }, /* key not text */
		{ "\xa1\xff", 2 },     /* not UTF-8 */
		{ "\xcf\xff\xff\xff\xff\xff\xff\xff\xff", 9 }, /* too large */
		{ "\xc4\x01x", 3 },			       /* binary */
		{ "\xdd\xff\xff\xff\xff", 5 }, /* count exceeds data */
	};
	char deep[64];

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_null(pack_decode(cases[i].bytes, cases[i].len));
	memset(deep, '\x91', sizeof(deep));
	deep[sizeof(deep) - 1] = '\x90';
	g_assert_null(pack_decode(deep, sizeof(deep)));
}

static void test_hello_mac(void)
{
	static const struct {
		const char *node; /* in the identity of the MAC */
		const char *secret;
		const char *side;
		const char *nonce;
		gboolean is_genuine;
	} cases[] = {
		{ "g1", "secret", "open", "nonce", TRUE },
		{ "g1", "other", "open", "nonce", FALSE },
		{ "g1", "secret", "accept", "nonce", FALSE },
		{ "g1", "secret", "open", "replayed", FALSE },
		{ "g2", "secret", "open", "nonce", FALSE },
	};
	struct link_hello h = {
		.identity = { .node = "g1",
			      .incarnation = "i1",
			      .vm = "vm1",
			      .failure_domain = "tov-a",
			      .http = "127.0.0.1:1",
			      .link = "127.0.0.1:2",
			      .role = LINK_ROLE_GATEWAY },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		h.identity.node = (char *)cases[i].node;
		h.mac = link_hello_mac(&h, "secret", "open", "nonce");
		h.identity.node = "g1";
		g_assert_cmpint(link_hello_has_valid_mac(&h, cases[i].secret,
							 cases[i].side,
							 cases[i].nonce),
				==, cases[i].is_genuine);
		g_free(h.mac);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/link/frame-cases", test_frame_cases);
	g_test_add_func("/link/frame-bytewise", test_frame_bytewise);
	g_test_add_func("/link/pack-round-trip", test_pack_round_trip);
	g_test_add_func("/link/pack-refuses", test_pack_refuses);
	g_test_add_func("/link/hello-mac", test_hello_mac);
	return g_test_run();
}
