#include "request/decision_log.h"

#include "base/schema.h"

struct decision_log {
	struct decision *ring;
	GHashTable *by_id; /**< request id to struct decision */
	guint size;
	guint next;
};

#define TEXT_FIELD(member_)                                  \
	{                                                    \
		.name = #member_, .type = FIELD_STRING,      \
		.offset = offsetof(struct decision, member_) \
	}
#define INT_FIELD(member_)                                   \
	{                                                    \
		.name = #member_, .type = FIELD_INT,         \
		.offset = offsetof(struct decision, member_) \
	}

static const struct field_spec decision_fields[] = {
	TEXT_FIELD(request_id), TEXT_FIELD(client_account),
	TEXT_FIELD(class),	TEXT_FIELD(state),
	TEXT_FIELD(reason),	TEXT_FIELD(endpoint),
	TEXT_FIELD(runner_up),	TEXT_FIELD(choice),
	INT_FIELD(attempts),	INT_FIELD(config_version),
	INT_FIELD(arrival_ms),	INT_FIELD(waited_ms),
	INT_FIELD(total_ms),	{ 0 },
};

static const struct schema decision_schema = { sizeof(struct decision),
					       decision_fields };

struct decision_log *decision_log_new(guint size)
{
	struct decision_log *log = g_new0(struct decision_log, 1);

	log->ring = g_new0(struct decision, size);
	log->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	log->size = size;
	return log;
}

void decision_log_free(struct decision_log *log)
{
	for (guint i = 0; i < log->size; i++)
		schema_clear(&decision_schema, &log->ring[i]);
	g_hash_table_unref(log->by_id);
	g_free(log->ring);
	g_free(log);
}

struct decision *decision_log_add(struct decision_log *log,
				  const char *request_id)
{
	struct decision *d = &log->ring[log->next];

	log->next = (log->next + 1) % log->size;
	if (d->request_id)
		g_hash_table_remove(log->by_id, d->request_id);
	schema_clear(&decision_schema, d);
	d->request_id = g_strdup(request_id);
	g_hash_table_replace(log->by_id, d->request_id, d);
	return d;
}

struct decision *decision_log_find(const struct decision_log *log,
				   const char *request_id)
{
	return g_hash_table_lookup(log->by_id, request_id);
}

void decision_set(char **member, const char *text)
{
	g_free(*member);
	*member = g_strdup(text);
}

json_object *decision_encode(const struct decision *d)
{
	return schema_encode(&decision_schema, d);
}
