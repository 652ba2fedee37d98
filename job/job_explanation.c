#include "job/job_explanation.h"

static const struct field_spec member_fields[] = {
	SCHEMA_OUT_STRING(struct member_explanation, worker),
	SCHEMA_OUT_STRING(struct member_explanation, task),
	SCHEMA_OUT_STRING(struct member_explanation, state),
	{ 0 },
};

static const struct schema member_schema = { sizeof(struct member_explanation),
					     member_fields };

static const struct field_spec explanation_fields[] = {
	SCHEMA_OUT_STRING(struct job_explanation, id),
	SCHEMA_OUT_STRING(struct job_explanation, pool),
	SCHEMA_OUT_STRING(struct job_explanation, client_account),
	SCHEMA_OUT_STRING(struct job_explanation, state),
	SCHEMA_OUT_STRING(struct job_explanation, reason),
	SCHEMA_OUT_STRING(struct job_explanation, choice),
	SCHEMA_OUT_STRING(struct job_explanation, runner_up),
	SCHEMA_OUT_STRING(struct job_explanation, gang),
	SCHEMA_OUT_INT(struct job_explanation, attempt),
	SCHEMA_OUT_INT(struct job_explanation, failures),
	SCHEMA_OUT_INT(struct job_explanation, stops),
	SCHEMA_OUT_INT(struct job_explanation, epoch),
	SCHEMA_OUT_STRINGS(struct job_explanation, lines),
	SCHEMA_OUT_STRINGS(struct job_explanation, waits_for),
	{ .name = "members",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct job_explanation, members),
	  .max = G_MAXINT32,
	  .schema = &member_schema },
	{ 0 },
};

const struct schema job_explanation_schema = { sizeof(struct job_explanation),
					       explanation_fields };
