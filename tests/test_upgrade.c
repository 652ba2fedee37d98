/*
 * Compatibility of messages and rows between program versions: the exact bytes
 * that this version sends, members that a later version adds, and the protocol
 * version that two processes agree on.
 */
#include <glib.h>
#include <string.h>

#include "config/config_body.h"
#include "config/config_delta.h"
#include "config/config_doc.h"
#include "config/config_head.h"
#include "job/job_record.h"
#include "job/renewal_message.h"
#include "job/worker_report.h"
#include "link/frame.h"
#include "link/link_identity.h"
#include "link/message.h"
#include "link/pack.h"
#include "request/claim.h"
#include "shared/heartbeat.h"
#include "shared/lease_row.h"

#define IDENTITY                                              \
	"\"node\":\"n\",\"incarnation\":\"i\",\"vm\":\"v\","  \
	"\"failure_domain\":\"d\",\"http\":\"h\",\"link\":\"" \
	"l\",\"role\":\"gateway\""
#define HALF_MAC "0123456789abcdef0123456789abcdef"
#define PROOF "\"nonce\":\"0123456789abcdef\",\"mac\":\"" HALF_MAC HALF_MAC "\""
#define RECORD(more)                                                        \
	"\"records\":[{\"identity\":{" IDENTITY more "},\"state\":\"dead\"" \
	",\"generation\":1,\"state_version\":2,\"config_version\":3,"       \
	"\"status_version\":4" more "}]"

/** A message body of this version, and one that a later version may send. */
struct message_case {
	const char *name;
	const struct schema *schema;
	guint type;
	guint unknown_members; /* in @text_with_unknown */
	const char *text;
	const char *text_with_unknown;
	const char *hex; /* encoded frame of @text */
};

#define UNKNOWN_MEMBER ",\"later\":{\"a\":[1,null]}"

static const struct message_case message_cases[] = {
	{ "challenge", &link_challenge_schema, MESSAGE_CHALLENGE, 1,
	  "{\"nonce\":\"0123456789abcdef\"}",
	  "{\"nonce\":\"0123456789abcdef\"" UNKNOWN_MEMBER "}",
	  "0000001a010181a56e6f6e6365b030313233343536373839616263646566" },
	{ "hello of version 1", &link_hello_schema, MESSAGE_HELLO, 2,
	  "{\"identity\":{" IDENTITY "}," PROOF "}",
	  "{\"identity\":{" IDENTITY UNKNOWN_MEMBER "}," PROOF UNKNOWN_MEMBER
	  "}",
	  "000000b0010283a86964656e7469747987a46e6f6465a16eab696e636172"
	  "6e6174696f6ea169a2766da176ae6661696c7572655f646f6d61696ea164"
	  "a468747470a168a46c696e6ba16ca4726f6c65a767617465776179a56e6f"
	  "6e6365b030313233343536373839616263646566a36d6163d94030313233"
	  "343536373839616263646566303132333435363738396162636465663031"
	  "323334353637383961626364656630313233343536373839616263646566" },
	{ "hello", &link_hello_schema, MESSAGE_HELLO, 2,
	  "{\"identity\":{" IDENTITY "},\"oldest_version\":1,"
	  "\"newest_version\":2," PROOF "}",
	  "{\"identity\":{" IDENTITY UNKNOWN_MEMBER "},\"oldest_version\":1,"
	  "\"newest_version\":2," PROOF UNKNOWN_MEMBER "}",
	  "000000d0010285a86964656e7469747987a46e6f6465a16eab696e636172"
	  "6e6174696f6ea169a2766da176ae6661696c7572655f646f6d61696ea164"
	  "a468747470a168a46c696e6ba16ca4726f6c65a767617465776179ae6f6c"
	  "646573745f76657273696f6e01ae6e65776573745f76657273696f6e02a5"
	  "6e6f6e6365b030313233343536373839616263646566a36d6163d9403031"
	  "323334353637383961626364656630313233343536373839616263646566"
	  "303132333435363738396162636465663031323334353637383961626364"
	  "6566" },
	{ "refusal", &link_refusal_schema, MESSAGE_REFUSAL, 1,
	  "{\"oldest_version\":1,\"newest_version\":2,\"reason\":\"r\"}",
	  "{\"oldest_version\":1,\"newest_version\":2,\"reason\":"
	  "\"r\"" UNKNOWN_MEMBER "}",
	  "0000002c010683ae6f6c646573745f76657273696f6e01ae6e6577657374"
	  "5f76657273696f6e02a6726561736f6ea172" },
	{ "heartbeat", &heartbeat_schema, MESSAGE_HEARTBEAT, 4,
	  "{\"generation\":7,\"state\":\"alive\",\"view\":9,"
	  "\"pools\":[{\"pool\":\"p\",\"epoch\":2,\"is_holder\":true}]," RECORD(
		  "") "}",
	  "{\"generation\":7,\"state\":\"alive\",\"view\":9,"
	  "\"pools\":[{\"pool\":\"p\",\"epoch\":2,\"is_holder\":"
	  "true" UNKNOWN_MEMBER "}]," RECORD(UNKNOWN_MEMBER) UNKNOWN_MEMBER "}",
	  "000000e2011085aa67656e65726174696f6e07a57374617465a5616c6976"
	  "65a47669657709a5706f6f6c739183a4706f6f6ca170a565706f636802a9"
	  "69735f686f6c646572c3a77265636f7264739186a86964656e7469747987"
	  "a46e6f6465a16eab696e6361726e6174696f6ea169a2766da176ae666169"
	  "6c7572655f646f6d61696ea164a468747470a168a46c696e6ba16ca4726f"
	  "6c65a767617465776179a57374617465a464656164aa67656e6572617469"
	  "6f6e01ad73746174655f76657273696f6e02ae636f6e6669675f76657273"
	  "696f6e03ae7374617475735f76657273696f6e04" },
	{ "configuration, delta", &config_delta_schema, MESSAGE_CONFIG_DELTA, 2,
	  "{\"base_version\":1,\"version\":2,\"format\":1,\"digest\":"
	  "\"" HALF_MAC HALF_MAC "\",\"lists\":[{\"list\":\"jobs\",\"set\":[],"
	  "\"removed\":[\"j\"]}]}",
	  "{\"base_version\":1,\"version\":2,\"format\":1,\"digest\":"
	  "\"" HALF_MAC HALF_MAC "\",\"lists\":[{\"list\":\"jobs\",\"set\":[],"
	  "\"removed\":[\"j\"]" UNKNOWN_MEMBER "}]" UNKNOWN_MEMBER "}",
	  "0000008d011185ac626173655f76657273696f6e01a776657273696f6e02"
	  "a6666f726d617401a6646967657374d94030313233343536373839616263"
	  "646566303132333435363738396162636465663031323334353637383961"
	  "626364656630313233343536373839616263646566a56c697374739183a4"
	  "6c697374a46a6f6273a373657490a772656d6f76656491a16a" },
	{ "configuration, whole", &config_whole_schema, MESSAGE_CONFIG_BODY, 1,
	  "{\"version\":2,\"config\":{\"format\":1}}",
	  "{\"version\":2,\"config\":{\"format\":1}" UNKNOWN_MEMBER "}",
	  "0000001c011282a776657273696f6e02a6636f6e66696781a6666f726d61"
	  "7401" },
	{ "configuration, request", &config_request_schema,
	  MESSAGE_CONFIG_REQUEST, 1,
	  "{\"have_version\":2,\"wants_whole\":true}",
	  "{\"have_version\":2,\"wants_whole\":true" UNKNOWN_MEMBER "}",
	  "0000001e011382ac686176655f76657273696f6e02ab77616e74735f7768"
	  "6f6c65c3" },
	{ "renewals, report", &renewal_report_schema, MESSAGE_RENEWAL_REPORT, 2,
	  "{\"pool\":\"p\",\"epoch\":1,\"sequence\":2,\"version\":3,"
	  "\"failed\":[\"w\"],\"changes\":[{\"worker\":\"w\",\"digest\":4}]}",
	  "{\"pool\":\"p\",\"epoch\":1,\"sequence\":2,\"version\":3,"
	  "\"failed\":[\"w\"],\"changes\":[{\"worker\":\"w\",\"digest\":"
	  "4" UNKNOWN_MEMBER "}]" UNKNOWN_MEMBER "}",
	  "00000049011486a4706f6f6ca170a565706f636801a873657175656e6365"
	  "02a776657273696f6e03a66661696c656491a177a76368616e6765739182"
	  "a6776f726b6572a177a664696765737404" },
	{ "renewals, grant", &renewal_grant_schema, MESSAGE_RENEWAL_GRANT, 2,
	  "{\"pool\":\"p\",\"epoch\":1,\"sequence\":2,\"life_ms\":3,"
	  "\"lease_ms\":10000,\"period_ms\":3000,\"version\":3,"
	  "\"has_workers\":true,\"workers\":[{\"worker\":\"w\","
	  "\"address\":\"a\",\"digest\":4}]}",
	  "{\"pool\":\"p\",\"epoch\":1,\"sequence\":2,\"life_ms\":3,"
	  "\"lease_ms\":10000,\"period_ms\":3000,\"version\":3,"
	  "\"has_workers\":true,\"workers\":[{\"worker\":\"w\","
	  "\"address\":\"a\",\"digest\":4" UNKNOWN_MEMBER "}]" UNKNOWN_MEMBER
	  "}",
	  "00000078011589a4706f6f6ca170a565706f636801a873657175656e6365"
	  "02a76c6966655f6d7303a86c656173655f6d73cd2710a9706572696f645f"
	  "6d73cd0bb8a776657273696f6e03ab6861735f776f726b657273c3a7776f"
	  "726b6572739183a6776f726b6572a177a761646472657373a161a6646967"
	  "65737404" },
};

/* Encodes a body as the sender of the message does. */
static json_object *encode(const struct schema *schema, const void *body)
{
	if (schema == &heartbeat_schema)
		return heartbeat_encode(body);
	if (schema == &link_hello_schema)
		return link_hello_encode(body);
	return schema_encode(schema, body);
}

static char *encode_frame_hex(uint8_t type, json_object *body)
{
	GByteArray *packed = pack_encode(body);
	GByteArray *frame = g_byte_array_new();
	GString *hex = g_string_new(NULL);

	g_assert_cmpint(frame_write(frame, type, packed->data, packed->len), ==,
			STATUS_OK);
	for (guint i = 0; i < frame->len; i++)
		g_string_append_printf(hex, "%02x", frame->data[i]);
	g_byte_array_unref(packed);
	g_byte_array_unref(frame);
	return g_string_free(hex, FALSE);
}

/*
 * Decodes a text, in which exactly @unknown_members members must be ignored,
 * and encodes the result; free it with json_object_put().
 */
static json_object *reencode(const struct schema *schema, const char *text,
			     guint unknown_members)
{
	json_object *json = json_tokener_parse(text);
	void *body = g_malloc0(schema->size);
	struct finding_list findings;
	json_object *out;

	g_assert_nonnull(json);
	finding_list_init(&findings);
	g_assert_true(schema_decode_lenient(schema, json, body, "", &findings));
	g_assert_cmpuint(findings.ignored_members, ==, unknown_members);
	out = encode(schema, body);
	schema_clear(schema, body);
	g_free(body);
	finding_list_clear(&findings);
	json_object_put(json);
	return out;
}

/* Encoded frames match the recorded bytes of the present version. */
static void test_bytes(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(message_cases); i++) {
		const struct message_case *c = &message_cases[i];
		json_object *body = reencode(c->schema, c->text, 0);
		char *hex = encode_frame_hex((uint8_t)c->type, body);

		g_test_message("%s", c->name);
		g_assert_cmpstr(hex, ==, c->hex);
		g_free(hex);
		json_object_put(body);
	}
}

/* Members that a later version adds don't change the known ones. */
static void test_unknown_members(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(message_cases); i++) {
		const struct message_case *c = &message_cases[i];
		json_object *body = reencode(c->schema, c->text_with_unknown,
					     c->unknown_members);
		char *hex = encode_frame_hex((uint8_t)c->type, body);

		g_test_message("%s", c->name);
		g_assert_cmpstr(hex, ==, c->hex);
		g_free(hex);
		json_object_put(body);
	}
}

#define JOB(shape, more)                                                    \
	"{\"id\":\"j\",\"pool\":\"p\",\"client_account\":\"a\",\"shape\":{" \
	"\"members\":1,\"accelerators\":1,\"cores\":1,\"memory_mb\":1,"     \
	"\"adjacency\":\"none\"" shape "}" more "}"

/* Unknown members of a row are preserved when the row is written back. */
static void test_job_row(void)
{
	json_object *json = json_tokener_parse(
		JOB(",\"links\":4", ",\"later\":{\"a\":[1]},\"note\":\"x\""));
	struct job_record r = { 0 };
	struct job_record copy = { 0 };
	struct finding_list findings;
	json_object *out;
	json_object *shape;

	finding_list_init(&findings);
	g_assert_true(job_record_decode(&r, json, &findings));
	job_record_copy(&copy, &r);
	job_record_clear(&r);
	job_record_set_state(&copy, JOB_DONE, "finished");
	out = job_record_encode(&copy);
	shape = json_object_object_get(out, "shape");
	g_assert_cmpint(
		json_object_get_int(json_object_object_get(shape, "links")), ==,
		4);
	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(out, "later")),
		==, "{ \"a\": [ 1 ] }");
	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(out, "note")), ==,
		"x");
	g_assert_cmpstr(
		json_object_get_string(json_object_object_get(out, "state")),
		==, "done");
	job_record_clear(&copy);
	json_object_put(out);
	json_object_put(json);
	finding_list_clear(&findings);
}

#define CHANGE(version, more) \
	"\"version\":" version ",\"operator\":\"o\",\"commit_id\":\"c\"" more

/* The next head keeps unknown members of the head and of recent changes. */
static void test_config_head(void)
{
	json_object *json = json_tokener_parse("{" CHANGE(
		"4", "") ",\"object\":\"x\",\"later\":1,"
			 "\"recent\":[{" CHANGE("4", ",\"cause\":\"y\"") "}]}");
	struct config_head head = { 0 };
	struct config_head next = { 0 };
	struct finding_list findings;
	json_object *out;

	finding_list_init(&findings);
	g_assert_true(schema_decode(&config_head_schema, json, &head, "", NULL,
				    &findings));
	config_head_make_next(&head, "p", "d", &next);
	out = schema_encode(&config_head_schema, &next);
	json_object_object_del(out, "object");
	g_assert_cmpstr(
		json_object_to_json_string_ext(out, JSON_C_TO_STRING_PLAIN), ==,
		"{\"version\":5,\"operator\":\"p\",\"commit_id\":\"d\","
		"\"recent\":[{" CHANGE(
			"4",
			",\"cause\":\"y\"") "},{\"version\":5,\"operator\":"
					    "\"p\",\"commit_id\":\"d\"}],"
					    "\"later\":1}");
	config_head_clear(&head);
	config_head_clear(&next);
	finding_list_clear(&findings);
	json_object_put(out);
	json_object_put(json);
}

/* Unknown members are ignored in rows that are always replaced as a whole. */
static void test_rows_read(void)
{
	static const struct {
		const struct schema *schema;
		const char *text;
	} cases[] = {
		{ &lease_row_schema,
		  "{\"holder\":\"n\",\"incarnation\":\"i\",\"address\":\"a\","
		  "\"epoch\":1,\"ttl_ms\":9,\"commit_id\":\"c\"" UNKNOWN_MEMBER
		  "}" },
		{ &claim_row_schema,
		  "{\"request_id\":\"r\",\"node\":\"n\",\"incarnation\":\"i\","
		  "\"address\":\"a\",\"state\":\"done\",\"commit_id\":"
		  "\"c\"" UNKNOWN_MEMBER "}" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		json_object_put(reencode(cases[i].schema, cases[i].text, 1));
}

/* Unknown members in the report of a later version's worker are ignored. */
static void test_worker_report(void)
{
	json_object *json = json_tokener_parse(
		"{\"epoch\":1,\"tasks\":[{\"task\":\"j/0of1/1\",\"state\":"
		"\"running\",\"remaining_ms\":5" UNKNOWN_MEMBER
		"}]" UNKNOWN_MEMBER "}");
	struct worker_report r = { 0 };
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_true(worker_report_decode(&r, json, &findings));
	g_assert_cmpuint(r.tasks->len, ==, 1);
	worker_report_clear(&r);
	finding_list_clear(&findings);
	json_object_put(json);
}

#define ACCOUNT(more) "{\"name\":\"x\",\"service\":\"s\"" more "}"
#define BODY(account, more)                                                    \
	"{\"format\":1,\"services\":[{\"name\":\"s\","                         \
	"\"failure_domains\":[\"a\"]}],\"client_accounts\":[" account "]" more \
	"}"

/*
 * An accepted body may have unknown members, since a later version may have
 * written it; a body that an operator posts may not. The digest covers unknown
 * members; without any, it is the recorded digest of earlier versions.
 */
static const struct {
	const char *text;
	gboolean is_valid_strictly;
	gboolean is_delta_exact; /* a delta reproduces the body */
	const char *digest;	 /* NULL: differs from the first case's */
} body_cases[] = {
	{ BODY(ACCOUNT(""), ""), TRUE, TRUE,
	  "4538940b3e36554f2935d851f702e451"
	  "254050f686bf6cb0062e661ab1a6553f" },
	{ BODY(ACCOUNT(",\"later\":2"), ""), FALSE, TRUE, NULL },
	{ BODY(ACCOUNT(""), ",\"later\":[2]"), FALSE, FALSE, NULL },
};

static gboolean decodes(json_object *body, gboolean is_accepted)
{
	struct config_doc doc = { 0 };
	struct finding_list findings;
	gboolean is_valid;

	finding_list_init(&findings);
	is_valid = is_accepted
			   ? config_doc_decode_accepted(body, &doc, &findings)
			   : config_doc_decode(body, &doc, NULL, &findings);
	config_doc_clear(&doc);
	finding_list_clear(&findings);
	return is_valid;
}

/* Encoding the whole body preserves unknown members. */
static void check_whole(const struct config_body *body, json_object *json)
{
	json_object *whole = config_body_encode(body);

	json_object_object_foreach(json, key, value)
	{
		g_assert_true(json_object_equal(
			value, json_object_object_get(whole, key)));
	}
	json_object_put(whole);
}

/*
 * A delta reproduces the body, or fails to apply, so that the whole body is
 * requested.
 */
static void check_delta(guint i, const struct config_body *body)
{
	struct config_body *empty = config_body_new_empty(1);
	struct config_body *out = NULL;
	struct config_delta d = { 0 };
	enum status status;

	config_delta_make(empty, 0, body, 1, &d);
	if (body_cases[i].digest)
		g_assert_cmpstr(d.digest, ==, body_cases[i].digest);
	else
		g_assert_cmpstr(d.digest, !=, body_cases[0].digest);
	status = config_delta_apply(&d, empty, &out);
	g_assert_cmpint(status == STATUS_OK, ==, body_cases[i].is_delta_exact);
	schema_clear(&config_delta_schema, &d);
	config_body_unref(out);
	config_body_unref(empty);
}

static void test_config_body(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(body_cases); i++) {
		json_object *json = json_tokener_parse(body_cases[i].text);
		struct config_body *body = config_body_new(json);

		g_assert_true(decodes(json, TRUE));
		g_assert_cmpint(decodes(json, FALSE), ==,
				body_cases[i].is_valid_strictly);
		check_whole(body, json);
		check_delta(i, body);
		config_body_unref(body);
		json_object_put(json);
	}
}

static void test_versions(void)
{
	static const struct {
		struct link_versions own;
		struct link_versions other;
		int64_t common;
	} cases[] = {
		{ { 1, 2 }, { 1, 2 }, 2 }, { { 1, 2 }, { 1, 3 }, 2 },
		{ { 1, 3 }, { 1, 2 }, 2 }, { { 1, 2 }, { 2, 9 }, 2 },
		{ { 1, 2 }, { 0, 0 }, 1 }, { { 2, 3 }, { 0, 0 }, 0 },
		{ { 1, 2 }, { 3, 4 }, 0 }, { { 3, 4 }, { 1, 2 }, 0 },
		{ { 1, 2 }, { 5, 2 }, 0 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++)
		g_assert_cmpint(
			link_versions_common(&cases[i].own, &cases[i].other),
			==, cases[i].common);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/upgrade/bytes", test_bytes);
	g_test_add_func("/upgrade/added-members", test_unknown_members);
	g_test_add_func("/upgrade/job-row", test_job_row);
	g_test_add_func("/upgrade/config-head", test_config_head);
	g_test_add_func("/upgrade/rows-read", test_rows_read);
	g_test_add_func("/upgrade/worker-report", test_worker_report);
	g_test_add_func("/upgrade/config-body", test_config_body);
	g_test_add_func("/upgrade/versions", test_versions);
	return g_test_run();
}
