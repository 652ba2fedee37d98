#include "job/worker_report.h"

#include "base/util.h"

#define NAME_MAX_BYTES 256
#define MAX_COMMANDS 4096
#define MAX_TASKS 65536
#define DIGEST_BASIS G_GUINT64_CONSTANT(0xcbf29ce484222325)
#define DIGEST_PRIME G_GUINT64_CONSTANT(0x100000001b3)

static const char *const op_names[] = { "reserve",    "start",	  "release",
					"checkpoint", "throttle", "stop",
					NULL };
static const char *const task_state_names[] = {
	"reserved", "running", "checkpointed", "done", "failed", "stopped", NULL
};
static const char *const result_names[] = { "ok", "refused", NULL };

#define STRING_FIELD(type_, member, required_)                                 \
	{                                                                      \
		.name = #member, .type = FIELD_STRING,                         \
		.is_required = (required_), .offset = offsetof(type_, member), \
		.min = 0, .max = NAME_MAX_BYTES                                \
	}
#define INT_FIELD(type_, member)                                              \
	{                                                                     \
		.name = #member, .type = FIELD_INT,                           \
		.offset = offsetof(type_, member), .min = 0, .max = INT64_MAX \
	}
#define ENUM_FIELD(type_, name_, member, names_)                          \
	{                                                                 \
		.name = (name_), .type = FIELD_ENUM, .is_required = TRUE, \
		.offset = offsetof(type_, member), .names = (names_)      \
	}
#define ARRAY_FIELD(type_, member, schema_, max_)                 \
	{                                                         \
		.name = #member, .type = FIELD_ARRAY,             \
		.offset = offsetof(type_, member), .max = (max_), \
		.schema = &(schema_)                              \
	}

static const struct field_spec command_fields[] = {
	ENUM_FIELD(struct worker_command, "op", op, op_names),
	STRING_FIELD(struct worker_command, task, TRUE),
	INT_FIELD(struct worker_command, accelerators),
	INT_FIELD(struct worker_command, cores),
	INT_FIELD(struct worker_command, memory_mb),
	INT_FIELD(struct worker_command, run_ms),
	{ 0 },
};

static const struct schema command_schema = { sizeof(struct worker_command),
					      command_fields };

static const struct field_spec call_fields[] = {
	STRING_FIELD(struct worker_call, pool, TRUE),
	INT_FIELD(struct worker_call, epoch),
	STRING_FIELD(struct worker_call, holder, TRUE),
	INT_FIELD(struct worker_call, lease_ms),
	STRING_FIELD(struct worker_call, known, FALSE),
	ARRAY_FIELD(struct worker_call, commands, command_schema, MAX_COMMANDS),
	{ 0 },
};

const struct schema worker_call_schema = { sizeof(struct worker_call),
					   call_fields };

static const struct field_spec result_fields[] = {
	STRING_FIELD(struct worker_result, task, TRUE),
	ENUM_FIELD(struct worker_result, "status", is_refused, result_names),
	STRING_FIELD(struct worker_result, reason, FALSE),
	{ 0 },
};

static const struct schema result_schema = { sizeof(struct worker_result),
					     result_fields };

static const struct field_spec task_fields[] = {
	STRING_FIELD(struct worker_task, task, TRUE),
	ENUM_FIELD(struct worker_task, "state", state, task_state_names),
	INT_FIELD(struct worker_task, remaining_ms),
	{ 0 },
};

static const struct schema task_schema = { sizeof(struct worker_task),
					   task_fields };

static const struct field_spec free_fields[] = {
	INT_FIELD(struct worker_free_capacity, accelerators),
	INT_FIELD(struct worker_free_capacity, cores),
	INT_FIELD(struct worker_free_capacity, memory_mb),
	{ 0 },
};

static const struct schema free_schema = { sizeof(struct worker_free_capacity),
					   free_fields };

static const struct field_spec report_fields[] = {
	INT_FIELD(struct worker_report, epoch),
	ARRAY_FIELD(struct worker_report, results, result_schema, MAX_COMMANDS),
	ARRAY_FIELD(struct worker_report, tasks, task_schema, MAX_TASKS),
	{ .name = "free",
	  .type = FIELD_OBJECT,
	  .offset = offsetof(struct worker_report, free),
	  .schema = &free_schema },
	STRING_FIELD(struct worker_report, digest, FALSE),
	{ .name = "unchanged",
	  .type = FIELD_BOOL,
	  .offset = offsetof(struct worker_report, is_unchanged) },
	{ 0 },
};

const struct schema worker_report_schema = { sizeof(struct worker_report),
					     report_fields };

gboolean worker_report_decode(struct worker_report *r, json_object *json,
			      struct finding_list *findings)
{
	return schema_decode_lenient(&worker_report_schema, json, r, "",
				     findings);
}

void worker_report_clear(struct worker_report *r)
{
	schema_clear(&worker_report_schema, r);
}

/* FNV-1a hash of the task's name, mixed with its state. */
static guint64 task_digest(const struct worker_task *t)
{
	guint64 digest = DIGEST_BASIS;

	for (const char *p = t->task; *p; p++)
		digest = (digest ^ (guchar)*p) * DIGEST_PRIME;
	return util_mix64(digest * TASK_STATE_COUNT + (guint64)t->state);
}

int64_t worker_report_digest(const struct worker_report *r)
{
	guint64 digest = 0;

	for (guint i = 0; i < r->tasks->len; i++)
		digest += task_digest(
			&g_array_index(r->tasks, struct worker_task, i));
	return (int64_t)(digest & INT64_MAX);
}

void worker_call_init(struct worker_call *c, const char *pool, int64_t epoch,
		      const char *holder, int64_t lease_ms)
{
	c->pool = g_strdup(pool);
	c->epoch = epoch;
	c->holder = g_strdup(holder);
	c->lease_ms = lease_ms;
	c->known = NULL;
	c->commands = g_array_new(FALSE, TRUE, sizeof(struct worker_command));
}

void worker_call_clear(struct worker_call *c)
{
	schema_clear(&worker_call_schema, c);
}
