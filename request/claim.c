#include "request/claim.h"

#define TEXT_MAX_BYTES 256

static const char *const claim_state_names[] = { "claimed", "done", "not run",
						 "unknown", NULL };

#define TEXT_FIELD(member_)                                                  \
	{                                                                    \
		.name = #member_, .type = FIELD_STRING, .is_required = TRUE, \
		.offset = offsetof(struct claim_row, member_), .min = 1,     \
		.max = TEXT_MAX_BYTES                                        \
	}

static const struct field_spec claim_row_fields[] = {
	TEXT_FIELD(request_id),
	TEXT_FIELD(node),
	TEXT_FIELD(incarnation),
	TEXT_FIELD(address),
	{ .name = "state",
	  .type = FIELD_ENUM,
	  .is_required = TRUE,
	  .offset = offsetof(struct claim_row, state),
	  .names = claim_state_names },
	{ .name = "attempt",
	  .type = FIELD_INT,
	  .offset = offsetof(struct claim_row, attempt),
	  .max = INT32_MAX },
	{ .name = "result",
	  .type = FIELD_JSON,
	  .offset = offsetof(struct claim_row, result) },
	TEXT_FIELD(commit_id),
	{ 0 },
};

const struct schema claim_row_schema = { sizeof(struct claim_row),
					 claim_row_fields };

void claim_init(struct claim *c, const struct claim_spec *spec)
{
	*c = (struct claim){ .version = TABLE_ABSENT };
	c->own.request_id = g_strdup(spec->request_id);
	c->own.node = g_strdup(spec->node);
	c->own.incarnation = g_strdup(spec->incarnation);
	c->own.address = g_strdup(spec->address);
	c->own.commit_id = g_strdup(spec->commit_id);
	c->own.attempt = spec->attempt;
}

gboolean claim_is_first(const struct claim *c)
{
	return c->own.attempt == 1;
}

void claim_clear(struct claim *c)
{
	schema_clear(&claim_row_schema, &c->own);
	g_clear_pointer(&c->peer_address, g_free);
	g_clear_pointer(&c->peer_incarnation, g_free);
	g_clear_pointer(&c->peer_request_id, g_free);
	g_clear_pointer(&c->result, json_object_put);
}

json_object *claim_row_value(const struct claim *c)
{
	return schema_encode(&claim_row_schema, &c->own);
}

static enum claim_step answer(struct claim *c, enum answer_kind kind,
			      enum reason reason)
{
	c->phase = CLAIM_PHASE_ANSWERED;
	c->answer = kind;
	c->reason = reason;
	return CLAIM_STEP_ANSWER;
}

/*
 * This attempt sent nothing to an endpoint. "Not run" is certain only if no
 * earlier attempt can still be running or waiting.
 */
static enum claim_step answer_unclaimed(struct claim *c)
{
	if (claim_is_first(c))
		return answer(c, ANSWER_NOT_RUN, REASON_PLATFORM_DOWN);
	return answer(c, ANSWER_UNKNOWN, REASON_CLAIM_UNREACHABLE);
}

enum claim_step claim_begin(struct claim *c)
{
	if (claim_is_first(c)) {
		c->phase = CLAIM_PHASE_READY;
		return CLAIM_STEP_READY;
	}
	c->phase = CLAIM_PHASE_ARRIVAL;
	return CLAIM_STEP_READ;
}

enum claim_step claim_write(struct claim *c, enum claim_state state,
			    enum reason reason, json_object *result)
{
	c->own.state = state;
	c->reason = reason;
	json_object_put(c->own.result);
	c->own.result = result ? json_object_get(result) : NULL;
	if (c->is_unresolved) {
		c->phase = CLAIM_PHASE_CHECKING;
		return CLAIM_STEP_READ;
	}
	c->phase = CLAIM_PHASE_WRITING;
	return CLAIM_STEP_WRITE;
}

static enum claim_step read_back(struct claim *c)
{
	c->phase = CLAIM_PHASE_CHECKING;
	return CLAIM_STEP_READ;
}

static enum claim_step write_again(struct claim *c, int64_t version)
{
	c->version = version;
	c->phase = CLAIM_PHASE_WRITING;
	return CLAIM_STEP_WRITE;
}

static enum claim_step row_written(struct claim *c, int64_t version)
{
	c->version = version;
	c->is_unresolved = FALSE;
	c->phase = CLAIM_PHASE_WRITTEN;
	return CLAIM_STEP_WRITTEN;
}

enum claim_step claim_on_write(struct claim *c, enum status status,
			       int64_t version)
{
	switch (status) {
	case STATUS_OK:
		return row_written(c, version);
	case STATUS_CONFLICT:
		return read_back(c);
	case STATUS_UNKNOWN:
		c->is_unresolved = TRUE;
		return read_back(c);
	default:
		if (c->is_background) {
			c->phase = CLAIM_PHASE_WRITING;
			return CLAIM_STEP_WAIT;
		}
		return answer_unclaimed(c);
	}
}

/* Another attempt holds the claim: asks its claimant for the outcome. */
static enum claim_step on_claimed(struct claim *c, const struct claim_row *row)
{
	if (c->phase == CLAIM_PHASE_FINAL_READ ||
	    g_str_equal(row->incarnation, c->own.incarnation))
		return answer(c, ANSWER_UNKNOWN, REASON_CLAIMANT_GONE);
	g_free(c->peer_address);
	g_free(c->peer_incarnation);
	g_free(c->peer_request_id);
	c->peer_address = g_strdup(row->address);
	c->peer_incarnation = g_strdup(row->incarnation);
	c->peer_request_id = g_strdup(row->request_id);
	c->phase = CLAIM_PHASE_ASKING;
	return CLAIM_STEP_ASK;
}

/*
 * Another attempt of the key was refused, which bars all attempts before it. If
 * both attempts are numbered, the numbers give their order. Otherwise the first
 * reads do: a refusal that was written after this attempt's first read bars it.
 */
static enum claim_step on_refused(struct claim *c, const struct claim_row *row,
				  int64_t version)
{
	gboolean is_numbered = c->own.attempt > 0 && row->attempt > 0;
	gboolean is_barred = is_numbered ? row->attempt >= c->own.attempt
					 : c->phase != CLAIM_PHASE_ARRIVAL;

	if (c->is_background || is_barred)
		return answer(c, ANSWER_NOT_RUN, REASON_SUPERSEDED);
	if (c->phase == CLAIM_PHASE_CHECKING)
		return write_again(c, version);
	c->version = version;
	c->phase = CLAIM_PHASE_READY;
	return CLAIM_STEP_READY;
}

/* Continues according to a row that another attempt wrote. */
static enum claim_step
on_foreign_row(struct claim *c, const struct claim_row *row, int64_t version)
{
	switch ((enum claim_state)row->state) {
	case CLAIM_CLAIMED:
		return on_claimed(c, row);
	case CLAIM_UNKNOWN:
		return answer(c, ANSWER_UNKNOWN, REASON_LOST_ANSWER);
	case CLAIM_DONE:
		if (!row->result)
			return answer(c, ANSWER_UNKNOWN,
				      REASON_RESULT_NOT_KEPT);
		c->result = json_object_get(row->result);
		return answer(c, ANSWER_DONE, REASON_NONE);
	case CLAIM_NOT_RUN:
		break;
	}
	return on_refused(c, row, version);
}

static enum claim_step on_row(struct claim *c, const struct claim_row *row,
			      int64_t version)
{
	gboolean is_own = g_str_equal(row->commit_id, c->own.commit_id);

	if (c->phase != CLAIM_PHASE_CHECKING)
		return on_foreign_row(c, row, version);
	if (is_own && row->state == c->own.state)
		return row_written(c, version);
	/* An earlier write of this attempt, or the row to be replaced. */
	if (is_own || version == c->version)
		return write_again(c, version);
	return on_foreign_row(c, row, version);
}

static enum claim_step on_absent(struct claim *c)
{
	switch (c->phase) {
	case CLAIM_PHASE_ARRIVAL:
		c->phase = CLAIM_PHASE_READY;
		return CLAIM_STEP_READY;
	case CLAIM_PHASE_CHECKING:
		if (c->version == TABLE_ABSENT)
			return write_again(c, TABLE_ABSENT);
		return answer(c, ANSWER_UNKNOWN, REASON_CLAIM_UNREACHABLE);
	default:
		return answer(c, ANSWER_UNKNOWN, REASON_CLAIMANT_GONE);
	}
}

enum claim_step claim_on_read(struct claim *c, enum status status,
			      const struct table_row *row)
{
	struct claim_row decoded = { 0 };
	struct finding_list findings;
	enum claim_step step;

	if (status == STATUS_NOT_FOUND)
		return on_absent(c);
	if (status != STATUS_OK) {
		if (c->phase == CLAIM_PHASE_ARRIVAL)
			return answer_unclaimed(c);
		return CLAIM_STEP_WAIT;
	}
	finding_list_init(&findings);
	if (schema_decode_lenient(&claim_row_schema, row->value, &decoded, "",
				  &findings))
		step = on_row(c, &decoded, row->version);
	else
		step = answer(c, ANSWER_UNKNOWN, REASON_CLAIM_UNREACHABLE);
	finding_list_clear(&findings);
	schema_clear(&claim_row_schema, &decoded);
	return step;
}

enum claim_step claim_on_peer(struct claim *c, enum claim_peer peer)
{
	if (peer != CLAIM_PEER_ENDED)
		return CLAIM_STEP_WAIT;
	c->phase = CLAIM_PHASE_FINAL_READ;
	return CLAIM_STEP_READ;
}

enum claim_step claim_on_waited(struct claim *c)
{
	if (c->phase == CLAIM_PHASE_ASKING)
		return CLAIM_STEP_ASK;
	if (c->phase == CLAIM_PHASE_WRITING)
		return CLAIM_STEP_WRITE;
	return CLAIM_STEP_READ;
}

enum claim_step claim_on_deadline(struct claim *c)
{
	switch (c->phase) {
	case CLAIM_PHASE_ASKING:
	case CLAIM_PHASE_FINAL_READ:
		return answer(c, ANSWER_UNKNOWN, REASON_CLAIMED_ELSEWHERE);
	default:
		return answer_unclaimed(c);
	}
}
