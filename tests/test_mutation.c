#include <glib.h>
#include <string.h>

#include "base/json_text.h"
#include "base/schema.h"
#include "config/config_delta.h"
#include "config/config_doc.h"
#include "config/config_head.h"
#include "config/settings.h"
#include "job/job_explanation.h"
#include "job/job_record.h"
#include "job/job_submission.h"
#include "job/worker_report.h"
#include "link/frame.h"
#include "link/link_identity.h"
#include "link/pack.h"
#include "link/pack_check.h"
#include "store/vm_list.h"
#include "request/claim.h"
#include "request/request.h"
#include "shared/heartbeat.h"
#include "shared/lease_row.h"
#include "shared/member_record.h"

#define ROUNDS 1000
#define MAX_MUTATIONS 4
#define MAX_ELEMENTS 3
#define MAX_STRING_BYTES 12
#define MAX_CHUNK_BYTES 50
#define MAX_FRAMES 5
#define FRAME_ROUNDS 20000
#define READER_MAX_BODY_BYTES 4096

struct schema_case {
	const char *name;
	const struct schema *schema;
};

static const struct schema_case schema_cases[] = {
	{ "heartbeat", &heartbeat_schema },
	{ "lease_row", &lease_row_schema },
	{ "member_record", &member_record_schema },
	{ "claim_row", &claim_row_schema },
	{ "request_spec", &request_spec_schema },
	{ "config_delta", &config_delta_schema },
	{ "config_whole", &config_whole_schema },
	{ "config_request", &config_request_schema },
	{ "config_doc", &config_doc_schema },
	{ "config_head", &config_head_schema },
	{ "settings", &settings_schema },
	{ "vm_entry", &vm_entry_schema },
	{ "worker_call", &worker_call_schema },
	{ "worker_report", &worker_report_schema },
	{ "job_record", &job_record_schema },
	{ "job_explanation", &job_explanation_schema },
	{ "link_identity", &link_identity_schema },
	{ "link_hello", &link_hello_schema },
	{ "link_challenge", &link_challenge_schema },
	{ "link_refusal", &link_refusal_schema },
};

static json_object *random_struct(GRand *rng, const struct schema *schema);

static json_object *random_string(GRand *rng, const struct field_spec *f)
{
	int64_t most = MIN(f->max, MAX(f->min, MAX_STRING_BYTES));
	int64_t len = f->min + g_rand_int_range(rng, 0, most - f->min + 1);
	char *text = g_malloc0(len + 1);
	json_object *json;

	for (int64_t i = 0; i < len; i++)
		text[i] = (char)g_rand_int_range(rng, ' ', '~' + 1);
	json = json_object_new_string(text);
	g_free(text);
	return json;
}

static json_object *random_int(GRand *rng, const struct field_spec *f)
{
	switch (g_rand_int_range(rng, 0, 3)) {
	case 0:
		return json_object_new_int64(f->min);
	case 1:
		return json_object_new_int64(f->max);
	default:
		return json_object_new_int64(MIN(f->min + 1, f->max));
	}
}

static json_object *random_array(GRand *rng, const struct field_spec *f)
{
	json_object *json = json_object_new_array();
	int64_t count = f->min + g_rand_int_range(rng, 0, MAX_ELEMENTS);

	count = MIN(count, f->max);
	for (int64_t i = 0; i < count; i++)
		json_object_array_add(json,
				      f->type == FIELD_ARRAY
					      ? random_struct(rng, f->schema)
					      : json_object_new_string("s"));
	return json;
}

static json_object *random_value(GRand *rng, const struct field_spec *f)
{
	int64_t count = 0;

	switch (f->type) {
	case FIELD_STRING:
		return random_string(rng, f);
	case FIELD_INT:
		return random_int(rng, f);
	case FIELD_BOOL:
		return json_object_new_boolean(g_rand_boolean(rng));
	case FIELD_REAL:
		return json_object_new_double((double)f->min);
	case FIELD_ENUM:
		while (f->names[count])
			count++;
		return json_object_new_string(
			f->names[g_rand_int_range(rng, 0, count)]);
	case FIELD_OBJECT:
		return random_struct(rng, f->schema);
	case FIELD_ARRAY:
	case FIELD_STRINGS:
		return random_array(rng, f);
	case FIELD_JSON:
	case FIELD_UNKNOWN_MEMBERS:
		return json_object_new_int(g_rand_int_range(rng, 0, 100));
	}
	return NULL;
}

/* Returns a valid object with a random choice of the optional members. */
static json_object *random_struct(GRand *rng, const struct schema *schema)
{
	json_object *json = json_object_new_object();

	for (const struct field_spec *f = schema->fields; f->name; f++) {
		if (f->is_required || g_rand_boolean(rng))
			json_object_object_add(json, f->name,
					       random_value(rng, f));
	}
	return json;
}

/* Changes, removes, repeats and inserts bytes. */
static void mutate(GRand *rng, GByteArray *bytes)
{
	static const char *const tokens[] = {
		"\"",	"{",	   "}",	      "[",
		"]",	",",	   "null",    "-1",
		"1e99", "\\u0000", "\\ud800", "99999999999999999999",
		"true", "//",	   "\xff",    "0.5"
	};
	guint count = g_rand_int_range(rng, 1, MAX_MUTATIONS + 1);

	for (guint i = 0; i < count && bytes->len; i++) {
		guint at = g_rand_int_range(rng, 0, (gint32)bytes->len);
		guint len = g_rand_int_range(
			rng, 0, (gint32)MIN(bytes->len - at, 20) + 1);
		const char *token =
			tokens[g_rand_int_range(rng, 0, G_N_ELEMENTS(tokens))];
		GByteArray *tail = g_byte_array_new();

		g_byte_array_append(tail, bytes->data + at, bytes->len - at);
		switch (g_rand_int_range(rng, 0, 4)) {
		case 0: /* change */
			bytes->data[at] = (guint8)g_rand_int_range(rng, 0, 256);
			break;
		case 1: /* remove */
			g_byte_array_remove_range(bytes, at, len);
			break;
		case 2: /* repeat */
			g_byte_array_set_size(bytes, at + len);
			g_byte_array_append(bytes, tail->data, tail->len);
			break;
		default: /* insert */
			g_byte_array_set_size(bytes, at);
			g_byte_array_append(bytes, (const guint8 *)token,
					    strlen(token));
			g_byte_array_append(bytes, tail->data, tail->len);
		}
		g_byte_array_unref(tail);
	}
}

/*
 * Checks that an object that decodes without findings is the same after it is
 * encoded and decoded again. Returns TRUE if it decodes.
 */
static gboolean check_decode(const struct schema *schema, json_object *json)
{
	struct finding_list findings;
	void *first = g_malloc0(schema->size);
	void *second = g_malloc0(schema->size);
	json_object *once = NULL;
	json_object *twice = NULL;
	gboolean is_valid;

	finding_list_init(&findings);
	is_valid = schema_decode(schema, json, first, "", NULL, &findings);
	g_assert_cmpint(is_valid, ==, finding_list_count(&findings) == 0);
	if (is_valid) {
		once = schema_encode(schema, first);
		g_assert_true(schema_decode(schema, once, second, "", NULL,
					    &findings));
		twice = schema_encode(schema, second);
		g_assert_cmpstr(json_object_to_json_string(once), ==,
				json_object_to_json_string(twice));
	}
	json_object_put(once);
	json_object_put(twice);
	schema_clear(schema, first);
	schema_clear(schema, second);
	g_free(first);
	g_free(second);
	finding_list_clear(&findings);
	return is_valid;
}

/* Adds members unknown to all schemas, at any depth. */
static void add_members(GRand *rng, json_object *json)
{
	size_t count = 0;

	if (json_object_is_type(json, json_type_array))
		count = json_object_array_length(json);
	for (size_t i = 0; i < count; i++)
		add_members(rng, json_object_array_get_idx(json, i));
	if (!json_object_is_type(json, json_type_object))
		return;
	json_object_object_foreach(json, key, value)
	{
		(void)key;
		add_members(rng, value);
	}
	if (g_rand_boolean(rng))
		json_object_object_add(json, "later",
				       json_object_new_string("x"));
}

static json_object *reencode_lenient(const struct schema *schema,
				     json_object *json)
{
	struct finding_list findings;
	void *data = g_malloc0(schema->size);
	json_object *out;

	finding_list_init(&findings);
	g_assert_true(schema_decode_lenient(schema, json, data, "", &findings));
	out = schema_encode(schema, data);
	schema_clear(schema, data);
	g_free(data);
	finding_list_clear(&findings);
	return out;
}

/* Unknown members are ignored and change no other member. */
static void check_unknown_members(GRand *rng, const struct schema *schema,
				  json_object *json)
{
	json_object *expected = reencode_lenient(schema, json);
	json_object *seen;

	add_members(rng, json);
	seen = reencode_lenient(schema, json);
	json_object_object_foreach(expected, key, value)
	{
		if (!json_object_is_type(value, json_type_object) &&
		    !json_object_is_type(value, json_type_array))
			g_assert_true(json_object_equal(
				value, json_object_object_get(seen, key)));
	}
	json_object_put(expected);
	json_object_put(seen);
}

static void check_submission(json_object *json)
{
	struct config_doc doc = { 0 };
	struct job_record record = { 0 };
	struct config_body *jobs = NULL;
	struct finding_list findings;

	finding_list_init(&findings);
	if (config_doc_decode(json, &doc, NULL, &findings))
		jobs = config_body_new(json);
	job_submission_decode(json, &doc, jobs, &record, &findings);
	config_body_unref(jobs);
	job_record_clear(&record);
	config_doc_clear(&doc);
	finding_list_clear(&findings);
}

static gboolean check_text(const struct schema *schema, const GByteArray *bytes,
			   enum json_dialect dialect)
{
	struct finding_list findings;
	struct json_text text;
	gboolean is_valid;

	finding_list_init(&findings);
	is_valid = json_text_parse(&text, "body", (const char *)bytes->data,
				   bytes->len, dialect, &findings);
	g_assert_cmpint(is_valid, ==, finding_list_count(&findings) == 0);
	if (is_valid) {
		check_submission(text.root);
		is_valid = check_decode(schema, text.root);
	}
	json_text_clear(&text);
	finding_list_clear(&findings);
	return is_valid;
}

static void run_round(GRand *rng, const struct schema_case *c, guint *accepted)
{
	json_object *json = random_struct(rng, c->schema);
	const char *text = json_object_to_json_string(json);
	GByteArray *bytes = g_byte_array_new();
	GByteArray *packed = pack_encode(json);
	json_object *unpacked;

	g_assert_true(check_decode(c->schema, json));
	g_byte_array_append(bytes, (const guint8 *)text, strlen(text));
	g_assert_true(check_text(c->schema, bytes, JSON_STRICT));
	mutate(rng, bytes);
	*accepted += check_text(c->schema, bytes,
				g_rand_boolean(rng) ? JSON_STRICT
						    : JSON_WITH_COMMENTS);
	g_assert_true(pack_check(packed->data, packed->len));
	mutate(rng, packed);
	unpacked = pack_decode(packed->data, packed->len);
	if (unpacked)
		check_decode(c->schema, unpacked);
	json_object_put(unpacked);
	check_unknown_members(rng, c->schema, json);
	g_byte_array_unref(packed);
	g_byte_array_unref(bytes);
	json_object_put(json);
}

static void test_bodies(gconstpointer data)
{
	const struct schema_case *c = data;
	guint accepted = 0;

	for (guint32 seed = 1; seed <= ROUNDS; seed++) {
		GRand *rng = g_rand_new_with_seed(seed);

		g_test_message("seed %u", seed);
		run_round(rng, c, &accepted);
		g_rand_free(rng);
	}
	/* Some mutated texts are still valid, but not all. */
	g_assert_cmpuint(accepted, <, ROUNDS);
}

/* Returns a list with a few random entries, all with an address. */
static json_object *random_vm_list(GRand *rng)
{
	json_object *body = json_object_new_object();
	json_object *vms = json_object_new_array();

	for (guint i = 0; i < MAX_ELEMENTS; i++) {
		json_object *vm = random_struct(rng, &vm_entry_schema);

		json_object_object_add(vm, "address",
				       json_object_new_string("127.0.0.1:1"));
		json_object_array_add(vms, vm);
	}
	json_object_object_add(body, "vms", vms);
	return body;
}

/* Each entry is kept or skipped as a whole, without affecting the others. */
static void check_vm_list(json_object *body)
{
	struct finding_list findings;
	struct vm_list list;
	size_t count;

	finding_list_init(&findings);
	vm_list_init(&list);
	if (vm_list_decode(&list, body, &findings)) {
		count = json_object_array_length(
			json_object_object_get(body, "vms"));
		g_assert_cmpuint(list.vms->len + list.bad_count, ==, count);
		g_assert_cmpint(list.bad_count > 0, ==,
				finding_list_count(&findings) > 0);
	}
	for (guint i = 0; i < list.vms->len; i++) {
		const struct vm_entry *vm = list.vms->pdata[i];

		g_assert_true(vm_list_find(&list, vm->vm) == vm);
		g_assert_true(vm->vm[0] && vm->service[0] && vm->address[0]);
	}
	vm_list_clear(&list);
	finding_list_clear(&findings);
}

/* Decoding entry by entry gives the same list as parsing the whole body. */
static void check_vm_bytes(const GByteArray *bytes, json_object *root,
			   gboolean is_valid_json)
{
	GBytes *body = g_bytes_new(bytes->data, bytes->len);
	struct finding_list findings;
	struct vm_list parsed;
	struct vm_list read;
	gboolean is_parsed;
	gboolean is_read;

	finding_list_init(&findings);
	vm_list_init(&parsed);
	vm_list_init(&read);
	is_parsed = vm_list_decode(&parsed, root, &findings);
	is_read = vm_list_decode_bytes(&read, body, &findings);
	g_assert_true(is_parsed || !is_read);
	g_assert_true(is_read || !is_parsed || !is_valid_json);
	if (is_read) {
		g_assert_cmpuint(read.vms->len, ==, parsed.vms->len);
		g_assert_cmpuint(read.bad_count, ==, parsed.bad_count);
	}
	vm_list_clear(&read);
	vm_list_clear(&parsed);
	finding_list_clear(&findings);
	g_bytes_unref(body);
}

static void test_vm_list(void)
{
	for (guint32 seed = 1; seed <= ROUNDS; seed++) {
		GRand *rng = g_rand_new_with_seed(seed);
		json_object *body = random_vm_list(rng);
		const char *text = json_object_to_json_string(body);
		GByteArray *bytes = g_byte_array_new();
		struct finding_list findings;
		struct json_text t = { 0 };
		gboolean is_valid_json;

		check_vm_list(body);
		g_byte_array_append(bytes, (const guint8 *)text, strlen(text));
		mutate(rng, bytes);
		finding_list_init(&findings);
		is_valid_json =
			json_text_parse(&t, "body", (const char *)bytes->data,
					bytes->len, JSON_STRICT, &findings);
		check_vm_list(t.root);
		check_vm_bytes(bytes, t.root, is_valid_json);
		json_text_clear(&t);
		finding_list_clear(&findings);
		g_byte_array_unref(bytes);
		json_object_put(body);
		g_rand_free(rng);
	}
}

/* Encoded lengths and counts that exceed the data, and ones that just fit. */
static const struct {
	const char *bytes;
	gsize len;
	gboolean is_valid;
} length_cases[] = {
	{ "\xc0", 1, TRUE },
	{ "", 0, FALSE },
	{ "\xc0\xc0", 2, FALSE },
	{ "\xdd\xff\xff\xff\xff\xc0", 6, FALSE }, /* array 32 */
	{ "\xdf\xff\xff\xff\xff\xa1"
	  "a\xc0",
	  8, FALSE }, /* map 32 */
	{ "\xdd\x00\x00\x00\x02\xc0\xc0", 7, TRUE },
	{ "\xdf\x00\x00\x00\x01\xa1"
	  "a\xc0",
	  8, TRUE },
	{ "\xdb\xff\xff\xff\xff"
	  "a",
	  6, FALSE }, /* str 32 */
	{ "\xdb\x00\x00\x00\x01"
	  "a",
	  6, TRUE },
	{ "\xd9\x02"
	  "a",
	  3, FALSE },
	{ "\x92\xc0", 2, FALSE },
	{ "\x91\x91\x91\xdd\xff\xff\xff\xff", 8, FALSE },
	{ "\xcf\x00\x00\x00\x00\x00\x00\x00\x01", 9, TRUE },
	{ "\xcf\x00\x00\x00", 4, FALSE },
	{ "\xdd\xff", 2, FALSE },
};

static void test_lengths(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(length_cases); i++) {
		json_object *json =
			pack_decode(length_cases[i].bytes, length_cases[i].len);

		g_test_message("case %u", i);
		g_assert_cmpint(
			pack_check(length_cases[i].bytes, length_cases[i].len),
			==, length_cases[i].is_valid);
		g_assert_true(!json || length_cases[i].is_valid);
		json_object_put(json);
	}
}

static GByteArray *random_frames(GRand *rng, guint *count)
{
	GByteArray *stream = g_byte_array_new();
	guint8 body[MAX_CHUNK_BYTES];

	*count = g_rand_int_range(rng, 1, MAX_FRAMES + 1);
	for (guint i = 0; i < *count; i++) {
		gsize len = g_rand_int_range(rng, 0, sizeof(body) + 1);

		for (gsize j = 0; j < len; j++)
			body[j] = (guint8)g_rand_int_range(rng, 0, 256);
		g_assert_cmpint(
			frame_write(stream, (uint8_t)(i + 1), body, len), ==,
			STATUS_OK);
	}
	return stream;
}

/*
 * Feeds a stream in chunks; returns the number of frames, or -1 if it is
 * corrupt.
 */
static int read_frames(GRand *rng, const GByteArray *stream)
{
	struct frame_reader reader;
	enum status status = STATUS_NOT_FOUND;
	guint at = 0;
	int count = 0;

	frame_reader_init(&reader, READER_MAX_BODY_BYTES);
	while (at < stream->len && status != STATUS_INVALID) {
		guint chunk = g_rand_int_range(rng, 1, MAX_CHUNK_BYTES);
		guint len = MIN(chunk, stream->len - at);
		struct frame frame = { 0 };

		frame_reader_feed(&reader, stream->data + at, len);
		at += len;
		while ((status = frame_reader_next(&reader, &frame)) ==
		       STATUS_OK) {
			json_object *json =
				pack_decode(frame.body->data, frame.body->len);

			g_assert_cmpuint(frame.body->len, <=,
					 READER_MAX_BODY_BYTES);
			json_object_put(json);
			frame_clear(&frame);
			count++;
		}
	}
	frame_reader_clear(&reader);
	return status == STATUS_INVALID ? -1 : count;
}

static void test_frames(void)
{
	guint corrupt = 0;

	for (guint32 seed = 1; seed <= FRAME_ROUNDS; seed++) {
		GRand *rng = g_rand_new_with_seed(seed);
		guint count = 0;
		GByteArray *stream = random_frames(rng, &count);

		g_assert_cmpint(read_frames(rng, stream), ==, (int)count);
		mutate(rng, stream);
		corrupt += read_frames(rng, stream) < 0;
		g_byte_array_unref(stream);
		g_rand_free(rng);
	}
	g_assert_cmpuint(corrupt, >, 0);
	g_assert_cmpuint(corrupt, <, FRAME_ROUNDS);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (guint i = 0; i < G_N_ELEMENTS(schema_cases); i++) {
		char *path = g_strdup_printf("/mutation/bodies/%s",
					     schema_cases[i].name);

		g_test_add_data_func(path, &schema_cases[i], test_bodies);
		g_free(path);
	}
	g_test_add_func("/mutation/vm-list", test_vm_list);
	g_test_add_func("/mutation/claims", test_lengths);
	g_test_add_func("/mutation/frames", test_frames);
	return g_test_run();
}
