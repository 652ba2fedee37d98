#include "request/claim_expiry.h"

void claim_epoch_init(struct claim_epoch *e, int64_t period_ms)
{
	*e = (struct claim_epoch){ .period_ms = period_ms };
}

void claim_epoch_on_read(struct claim_epoch *e, enum status status,
			 int64_t value, int64_t version, int64_t asked_ms,
			 int64_t now_ms)
{
	if (status == STATUS_NOT_FOUND && e->value == CLAIM_EPOCH_NONE)
		e->asked_ms = asked_ms;
	if (status != STATUS_OK || value < e->value)
		return;
	if (value > e->value)
		e->since_ms = now_ms;
	e->value = value;
	e->version = version;
	e->asked_ms = asked_ms;
}

gboolean claim_epoch_may_advance(const struct claim_epoch *e, int64_t now_ms)
{
	if (!e->asked_ms)
		return FALSE;
	return e->value == CLAIM_EPOCH_NONE ||
	       now_ms - e->since_ms >= e->period_ms;
}

int64_t claim_epoch_for_row(const struct claim_epoch *e, int64_t now_ms)
{
	if (now_ms - e->asked_ms >= e->period_ms)
		return CLAIM_EPOCH_NONE;
	return e->value;
}

gboolean claim_epoch_is_in_time(const struct claim_epoch *e, int64_t begin_ms,
				int64_t now_ms)
{
	return now_ms - begin_ms < e->period_ms;
}

enum claim_fate claim_epoch_fate(const struct claim_epoch *e, int64_t row_epoch,
				 gboolean is_claimed, int64_t now_ms)
{
	/* What was read long ago would make the row look old. */
	if (claim_epoch_for_row(e, now_ms) == CLAIM_EPOCH_NONE)
		return CLAIM_FATE_KEEP;
	if (row_epoch == CLAIM_EPOCH_NONE)
		return CLAIM_FATE_ADOPT;
	if (e->value - row_epoch < CLAIM_EPOCHS_KEPT)
		return CLAIM_FATE_KEEP;
	return is_claimed ? CLAIM_FATE_ASK : CLAIM_FATE_GO;
}
