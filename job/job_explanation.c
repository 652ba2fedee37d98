#include "job/job_explanation.h"

#define STRING_FIELD(type_, member)                                  \
	{                                                            \
		.name = #member, .type = FIELD_STRING,               \
		.offset = offsetof(type_, member), .max = G_MAXINT32 \
	}
#define INT_FIELD(type_, member)                                     \
	{                                                            \
		.name = #member, .type = FIELD_INT,                  \
		.offset = offsetof(type_, member), .max = G_MAXINT64 \
	}

static const struct field_spec member_fields[] = {
	STRING_FIELD(struct member_explanation, worker),
	STRING_FIELD(struct member_explanation, task),
	STRING_FIELD(struct member_explanation, state),
	{ 0 },
};

static const struct schema member_schema = { sizeof(struct member_explanation),
					     member_fields };

static const struct field_spec explanation_fields[] = {
	STRING_FIELD(struct job_explanation, id),
	STRING_FIELD(struct job_explanation, pool),
	STRING_FIELD(struct job_explanation, client_account),
	STRING_FIELD(struct job_explanation, state),
	STRING_FIELD(struct job_explanation, reason),
	STRING_FIELD(struct job_explanation, choice),
	STRING_FIELD(struct job_explanation, runner_up),
	STRING_FIELD(struct job_explanation, gang),
	INT_FIELD(struct job_explanation, attempt),
	INT_FIELD(struct job_explanation, failures),
	INT_FIELD(struct job_explanation, stops),
	INT_FIELD(struct job_explanation, epoch),
	{ .name = "lines",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct job_explanation, lines),
	  .max = G_MAXINT32 },
	{ .name = "waits_for",
	  .type = FIELD_STRINGS,
	  .offset = offsetof(struct job_explanation, waits_for),
	  .max = G_MAXINT32 },
	{ .name = "members",
	  .type = FIELD_ARRAY,
	  .offset = offsetof(struct job_explanation, members),
	  .max = G_MAXINT32,
	  .schema = &member_schema },
	{ 0 },
};

const struct schema job_explanation_schema = { sizeof(struct job_explanation),
					       explanation_fields };
