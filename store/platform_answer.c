#include "store/platform_answer.h"

#include <libsoup/soup.h>

#include "base/schema.h"

#define KEY_MAX_BYTES 1024
#define MAX_ROWS 200000

struct row_body {
	char *key;
	int64_t version;
	json_object *value;
};

struct rows_body {
	GArray *rows;
};

struct conflict_body {
	char *conflict_key;
	int64_t version;
};

static const struct field_spec row_fields[] = {
	{ .name = "key",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct row_body, key),
	  .max = KEY_MAX_BYTES },
	{ .name = "version",
	  .type = FIELD_INT,
	  .is_required = TRUE,
	  .offset = offsetof(struct row_body, version),
	  .max = INT64_MAX },
	{ .name = "value",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct row_body, value) },
	{ 0 },
};

static const struct schema row_schema = { sizeof(struct row_body), row_fields };

static const struct field_spec rows_fields[] = {
	{ .name = "rows",
	  .type = FIELD_ARRAY,
	  .is_required = TRUE,
	  .offset = offsetof(struct rows_body, rows),
	  .max = MAX_ROWS,
	  .schema = &row_schema },
	{ 0 },
};

static const struct schema rows_schema = { sizeof(struct rows_body),
					   rows_fields };

static const struct field_spec conflict_fields[] = {
	{ .name = "conflict_key",
	  .type = FIELD_STRING,
	  .is_required = TRUE,
	  .offset = offsetof(struct conflict_body, conflict_key),
	  .max = KEY_MAX_BYTES },
	{ .name = "version",
	  .type = FIELD_INT,
	  .offset = offsetof(struct conflict_body, version),
	  .max = INT64_MAX },
	{ 0 },
};

static const struct schema conflict_schema = { sizeof(struct conflict_body),
					       conflict_fields };

static gboolean decode(const struct schema *schema, json_object *json,
		       void *out)
{
	struct finding_list findings;
	gboolean is_good;
	char *text;

	finding_list_init(&findings);
	is_good = schema_decode(schema, json, out, "", NULL, &findings);
	if (!is_good) {
		text = finding_list_text(&findings);
		status_fail(STATUS_INVALID,
			    "invalid answer from the platform: %s", text);
		g_free(text);
	}
	finding_list_clear(&findings);
	return is_good;
}

gboolean platform_answer_row(struct platform_call *call,
			     const struct http_reply *reply)
{
	struct row_body body = { 0 };
	gboolean is_good = decode(&row_schema, reply->body, &body);
	struct table_row row = {
		.key = body.key,
		.version = body.version,
		.value = body.value,
	};
	struct platform_result result = {
		.status = STATUS_OK,
		.rows = &row,
		.row_count = 1,
	};

	if (is_good)
		platform_call_finish(call, &result);
	schema_clear(&row_schema, &body);
	return is_good;
}

gboolean platform_answer_rows(struct platform_call *call,
			      const struct http_reply *reply)
{
	struct platform_result result = { .status = STATUS_OK };
	struct rows_body body = { 0 };
	struct table_row *rows;
	gboolean is_good = decode(&rows_schema, reply->body, &body);

	if (is_good && call->write_count && body.rows->len != call->write_count)
		is_good = FALSE;
	if (!is_good)
		goto out;
	rows = g_new0(struct table_row, body.rows->len);
	for (guint i = 0; i < body.rows->len; i++) {
		const struct row_body *b =
			&g_array_index(body.rows, struct row_body, i);

		rows[i].key = b->key;
		rows[i].version = b->version;
		rows[i].value = b->value;
	}
	result.rows = rows;
	result.row_count = body.rows->len;
	platform_call_finish(call, &result);
	g_free(rows);
out:
	schema_clear(&rows_schema, &body);
	return is_good;
}

gboolean platform_answer_object(struct platform_call *call,
				const struct http_reply *reply)
{
	struct platform_result result = {
		.status = STATUS_OK,
		.object = reply->body,
	};

	if (!reply->body)
		return FALSE;
	platform_call_finish(call, &result);
	return TRUE;
}

gboolean platform_answer_vm_list(struct platform_call *call,
				 const struct http_reply *reply)
{
	struct platform_result result = {
		.status = STATUS_OK,
		.bytes = reply->bytes,
		.etag = reply->header,
	};

	if (!reply->bytes)
		return FALSE;
	platform_call_finish(call, &result);
	return TRUE;
}

static gboolean finish_unchanged(struct platform_call *call)
{
	struct platform_result result = {
		.status = STATUS_OK,
		.etag = call->etag,
		.is_unchanged = TRUE,
	};

	platform_call_finish(call, &result);
	return TRUE;
}

gboolean platform_answer_empty(struct platform_call *call,
			       const struct http_reply *reply)
{
	struct platform_result result = { .status = STATUS_OK };

	platform_call_finish(call, &result);
	return TRUE;
}

static gboolean finish_conflict(struct platform_call *call,
				const struct http_reply *reply)
{
	struct platform_result result = { 0 };
	struct conflict_body body = { 0 };
	gboolean is_good = decode(&conflict_schema, reply->body, &body);

	if (!is_good)
		goto out;
	result.status =
		status_fail(STATUS_CONFLICT,
			    "unexpected version of row %s: %" G_GINT64_FORMAT,
			    body.conflict_key, body.version);
	result.conflict_key = body.conflict_key;
	platform_call_finish(call, &result);
out:
	schema_clear(&conflict_schema, &body);
	return is_good;
}

enum status platform_answer_failure_status(const struct platform_call *call,
					   const struct http_reply *reply)
{
	if (reply->status == STATUS_UNAVAILABLE ||
	    call->kind == STORE_CALL_READ)
		return STATUS_UNAVAILABLE;
	return STATUS_UNKNOWN;
}

gboolean platform_answer_handle(struct platform_call *call,
				const struct http_reply *reply)
{
	struct platform_result result = { .status = STATUS_OK };

	if (reply->status != STATUS_OK)
		return FALSE;
	if (reply->code == SOUP_STATUS_OK)
		return call->decode_answer(call, reply);
	if (reply->code == SOUP_STATUS_NOT_MODIFIED && call->etag)
		return finish_unchanged(call);
	if (reply->code == SOUP_STATUS_CONFLICT)
		return finish_conflict(call, reply);
	if (reply->code >= SOUP_STATUS_INTERNAL_SERVER_ERROR)
		return FALSE;
	if (reply->code == SOUP_STATUS_NOT_FOUND)
		result.status =
			status_fail(STATUS_NOT_FOUND,
				    "the platform has no such row or object");
	else
		result.status = status_fail(
			STATUS_INVALID,
			"unexpected HTTP status %u from the platform",
			reply->code);
	platform_call_finish(call, &result);
	return TRUE;
}
