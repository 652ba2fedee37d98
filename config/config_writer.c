#include "config/config_writer.h"

#include "base/util.h"
#include "store/table_row.h"

#define READ_BACK_DELAY_MS 250

struct config_writer {
	struct platform *platform;
	struct config_acceptance acceptance;
	json_object *body;
	config_writer_fn fn;
	void *data;
};

static void start_next_call(struct config_writer *w);

static void finish(struct config_writer *w)
{
	w->fn(&w->acceptance, w->body, w->data);
	config_acceptance_clear(&w->acceptance);
	json_object_put(w->body);
	g_free(w);
}

static void on_read(const struct platform_result *result, void *data)
{
	struct config_writer *w = data;
	struct config_head head = { 0 };
	enum status status =
		table_row_decode(result, &config_head_schema, &head);
	int64_t row_version = TABLE_ABSENT;

	if (result->status == STATUS_OK)
		row_version = result->rows[0].version;
	config_acceptance_on_read(&w->acceptance, status, row_version, &head);
	config_head_clear(&head);
	start_next_call(w);
}

static void on_put(const struct platform_result *result, void *data)
{
	struct config_writer *w = data;

	config_acceptance_on_put(&w->acceptance, result->status);
	start_next_call(w);
}

static void on_commit(const struct platform_result *result, void *data)
{
	struct config_writer *w = data;

	config_acceptance_on_commit(&w->acceptance, result->status);
	start_next_call(w);
}

static void read_head(struct config_writer *w)
{
	platform_read(w->platform, CONFIG_TABLE, CONFIG_HEAD_KEY, on_read, w);
}

static gboolean on_read_back_delay(gpointer data)
{
	read_head(data);
	return G_SOURCE_REMOVE;
}

static void read_back(struct config_writer *w)
{
	g_timeout_add(READ_BACK_DELAY_MS, on_read_back_delay, w);
}

static void put_body(struct config_writer *w)
{
	platform_object_put(w->platform, w->acceptance.next.object, w->body,
			    on_put, w);
}

static void commit_head(struct config_writer *w)
{
	json_object *value =
		schema_encode(&config_head_schema, &w->acceptance.next);
	struct table_write write = {
		.table = CONFIG_TABLE,
		.key = CONFIG_HEAD_KEY,
		.expected_version = w->acceptance.expected_row_version,
		.value = value,
	};

	platform_commit(w->platform, &write, 1, on_commit, w);
	json_object_put(value);
}

/* Starts the store call of each step; the last entry ends the acceptance. */
static void (*const calls[])(struct config_writer *w) = {
	[ACCEPTANCE_READ_HEAD] = read_head,
	[ACCEPTANCE_PUT_BODY] = put_body,
	[ACCEPTANCE_COMMIT_HEAD] = commit_head,
	[ACCEPTANCE_READ_BACK] = read_back,
	[ACCEPTANCE_FINISHED] = finish,
};

static void start_next_call(struct config_writer *w)
{
	calls[w->acceptance.call](w);
}

void config_writer_start(struct platform *p, int64_t base_version,
			 const char *operator_name, json_object *body,
			 gboolean is_dry_run, config_writer_fn fn, void *data)
{
	struct config_writer *w = g_new0(struct config_writer, 1);
	char *commit_id = util_random_id();

	w->platform = p;
	w->body = json_object_get(body);
	w->fn = fn;
	w->data = data;
	config_acceptance_init(&w->acceptance, base_version, operator_name,
			       commit_id, is_dry_run);
	g_free(commit_id);
	start_next_call(w);
}
