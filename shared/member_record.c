#include "shared/member_record.h"

const char *const member_state_names[] = { "alive",   "suspect", "dead",
					   "leaving", "left",	 NULL };

#define VERSION_FIELD(member)                                     \
	{                                                         \
		.name = #member, .type = FIELD_INT,               \
		.offset = offsetof(struct member_record, member), \
		.max = INT64_MAX                                  \
	}

static const struct field_spec member_record_fields[] = {
	{ .name = "identity",
	  .type = FIELD_OBJECT,
	  .is_required = TRUE,
	  .offset = offsetof(struct member_record, identity),
	  .schema = &link_identity_schema },
	{ .name = "state",
	  .type = FIELD_ENUM,
	  .is_required = TRUE,
	  .offset = offsetof(struct member_record, state),
	  .names = member_state_names },
	VERSION_FIELD(generation),
	VERSION_FIELD(state_version),
	VERSION_FIELD(config_version),
	VERSION_FIELD(status_version),
	{ 0 },
};

const struct schema member_record_schema = { sizeof(struct member_record),
					     member_record_fields };

static gboolean is_newer_state(const struct member_record *a,
			       const struct member_record *b)
{
	if (a->state_version != b->state_version)
		return a->state_version > b->state_version;
	return a->state > b->state;
}

static gboolean is_newer_status(const struct member_record *a,
				const struct member_record *b)
{
	return a->status_version > b->status_version;
}

const struct member_rules member_rules_default = {
	.is_newer_state = is_newer_state,
	.is_newer_status = is_newer_status,
};

void member_record_copy(struct member_record *to,
			const struct member_record *from)
{
	struct link_identity identity = { 0 };

	link_identity_copy(&identity, &from->identity);
	link_identity_clear(&to->identity);
	*to = *from;
	to->identity = identity;
}

void member_record_clear(struct member_record *r)
{
	schema_clear(&member_record_schema, r);
}

gboolean member_record_merge(struct member_record *to,
			     const struct member_record *from,
			     const struct member_rules *rules)
{
	gboolean is_changed = FALSE;

	if (from->generation < to->generation)
		return FALSE;
	if (from->generation > to->generation) {
		member_record_copy(to, from);
		return TRUE;
	}
	if (rules->is_newer_state(from, to)) {
		to->state = from->state;
		to->state_version = from->state_version;
		is_changed = TRUE;
	}
	if (rules->is_newer_status(from, to)) {
		to->config_version = from->config_version;
		to->status_version = from->status_version;
	}
	return is_changed;
}
