#include "shared/lease_protocol.h"

#include "base/wake_plan.h"
#include "store/platform.h"

/** Delay before the next call after a failed one. */
#define RETRY_MS INT64_C(250)
/** Failed calls while draining after which the release is given up. */
#define MAX_FAILED_RELEASES 8

static int64_t valid_from_sent(int64_t sent_ms, int64_t answered_ms)
{
	return sent_ms;
}

static int64_t expiry_with_margin(int64_t seen_ms, int64_t ttl_ms)
{
	return seen_ms + ttl_ms + ttl_ms / LEASE_RATE_MARGIN;
}

static int64_t increment_epoch(int64_t epoch)
{
	return epoch + 1;
}

const struct lease_rules lease_rules_default = {
	.valid_from = valid_from_sent,
	.expires_at = expiry_with_margin,
	.next_epoch = increment_epoch,
};

void lease_protocol_init(struct lease_protocol *p, const char *node,
			 const char *incarnation, const char *address,
			 int64_t now_ms)
{
	*p = (struct lease_protocol){ .rules = &lease_rules_default };
	p->node = g_strdup(node);
	p->incarnation = g_strdup(incarnation);
	p->address = g_strdup(address);
	p->needs_read = TRUE;
	p->table_answer_ms = now_ms;
	p->holder_heard_ms = now_ms;
	p->rank_since_ms = now_ms;
}

void lease_protocol_clear(struct lease_protocol *p)
{
	g_free(p->node);
	g_free(p->incarnation);
	g_free(p->address);
	lease_row_clear(&p->row);
	lease_row_clear(&p->writing);
	*p = (struct lease_protocol){ 0 };
}

static gboolean is_ours(const struct lease_protocol *p)
{
	return p->has_read_row && !lease_row_is_released(&p->row) &&
	       g_str_equal(p->row.incarnation, p->incarnation);
}

static int64_t acquire_due_ms(const struct lease_protocol *p)
{
	int64_t expires_ms = p->seen_ms;

	if (!lease_row_is_released(&p->row))
		expires_ms = p->rules->expires_at(p->seen_ms, p->row.ttl_ms);
	return expires_ms + p->rank * LEASE_STAGGER_MS;
}

static enum lease_call start_call(struct lease_protocol *p, int64_t now_ms,
				  enum lease_call call)
{
	p->call = call;
	p->sent_ms = now_ms;
	return call;
}

static enum lease_call start_commit(struct lease_protocol *p, int64_t now_ms,
				    const char *holder, int64_t epoch)
{
	lease_row_clear(&p->writing);
	p->writing.holder = g_strdup(holder);
	p->writing.incarnation = g_strdup(p->incarnation);
	p->writing.address = g_strdup(p->address);
	p->writing.epoch = epoch;
	p->writing.ttl_ms = LEASE_TTL_MS;
	p->writing.commit_id = g_strdup_printf("%s-%" G_GINT64_FORMAT,
					       p->incarnation, ++p->commits);
	p->expected_version = p->row_version;
	return start_call(p, now_ms, LEASE_CALL_COMMIT);
}

static enum lease_call release(struct lease_protocol *p, int64_t now_ms)
{
	p->valid_until_ms = 0;
	return start_commit(p, now_ms, "", p->row.epoch);
}

static gboolean should_hand_over(const struct lease_protocol *p, int64_t now_ms)
{
	return p->rank > 0 && now_ms - p->rank_since_ms >= LEASE_REBALANCE_MS;
}

static enum lease_call step_draining(struct lease_protocol *p, int64_t now_ms)
{
	if (lease_protocol_is_released(p))
		return LEASE_CALL_NONE;
	if (p->needs_read)
		return start_call(p, now_ms, LEASE_CALL_READ);
	return release(p, now_ms);
}

enum lease_call lease_protocol_step(struct lease_protocol *p, int64_t now_ms)
{
	if (p->call != LEASE_CALL_NONE || now_ms < p->next_call_ms)
		return LEASE_CALL_NONE;
	if (p->is_draining)
		return step_draining(p, now_ms);
	if (p->needs_read)
		return start_call(p, now_ms, LEASE_CALL_READ);
	if (is_ours(p) && should_hand_over(p, now_ms))
		return release(p, now_ms);
	if (is_ours(p))
		return start_commit(p, now_ms, p->node, p->row.epoch);
	if (now_ms >= acquire_due_ms(p))
		return start_commit(p, now_ms, p->node,
				    p->rules->next_epoch(p->row.epoch));
	return start_call(p, now_ms, LEASE_CALL_READ);
}

/*
 * Stores the row as read. A new version rules out that an unresolved commit
 * over the old one still takes effect.
 */
static void store_row(struct lease_protocol *p, int64_t now_ms, int64_t version,
		      const struct lease_row *row)
{
	if (p->has_read_row && version == p->row_version)
		return;
	p->has_read_row = TRUE;
	p->row_version = version;
	p->seen_ms = now_ms;
	lease_row_clear(&p->row);
	if (row)
		lease_row_copy(&p->row, row);
	if (!is_ours(p))
		p->valid_until_ms = 0;
	else if (p->is_unresolved && !p->is_draining)
		p->valid_until_ms =
			p->rules->valid_from(p->unresolved_ms, now_ms) +
			p->row.ttl_ms;
	p->is_unresolved = FALSE;
}

static int64_t poll_ms(const struct lease_protocol *p)
{
	return p->rank == 0 ? LEASE_POLL_MS : LEASE_POLL_SLOW_MS;
}

void lease_protocol_on_read(struct lease_protocol *p, int64_t now_ms,
			    enum status status, int64_t version,
			    const struct lease_row *row)
{
	p->call = LEASE_CALL_NONE;
	if (status != STATUS_OK && status != STATUS_NOT_FOUND) {
		p->next_call_ms = now_ms + RETRY_MS;
		p->failed_releases += p->is_draining ? 1 : 0;
		return;
	}
	p->table_answer_ms = now_ms;
	p->needs_read = FALSE;
	store_row(p, now_ms, version, row);
	p->next_call_ms = now_ms;
	if (!is_ours(p) && !p->is_draining && acquire_due_ms(p) > now_ms)
		p->next_call_ms = MIN(now_ms + poll_ms(p), acquire_due_ms(p));
}

static void on_written(struct lease_protocol *p, int64_t now_ms,
		       int64_t version)
{
	p->table_answer_ms = now_ms;
	p->is_unresolved = FALSE;
	p->has_read_row = TRUE;
	p->row_version = version;
	p->seen_ms = now_ms;
	lease_row_copy(&p->row, &p->writing);
	if (is_ours(p) && !p->is_draining)
		p->valid_until_ms = p->rules->valid_from(p->sent_ms, now_ms) +
				    p->row.ttl_ms;
	p->next_call_ms =
		is_ours(p) ? p->sent_ms + LEASE_RENEW_MS : now_ms + poll_ms(p);
	if (p->is_draining)
		p->next_call_ms = now_ms;
}

void lease_protocol_on_commit(struct lease_protocol *p, int64_t now_ms,
			      enum status status, int64_t version)
{
	p->call = LEASE_CALL_NONE;
	if (status == STATUS_OK) {
		on_written(p, now_ms, version);
		return;
	}
	p->failed_releases += p->is_draining ? 1 : 0;
	p->next_call_ms = now_ms + RETRY_MS;
	if (status == STATUS_CONFLICT) {
		p->table_answer_ms = now_ms;
		p->needs_read = TRUE;
		p->next_call_ms = now_ms;
	}
	if (status == STATUS_UNKNOWN) {
		if (!p->is_unresolved)
			p->unresolved_ms = p->sent_ms;
		p->is_unresolved = TRUE;
		p->needs_read = TRUE;
	}
}

void lease_protocol_set_rank(struct lease_protocol *p, int64_t now_ms,
			     guint rank)
{
	if (p->rank == rank)
		return;
	p->rank = rank;
	p->rank_since_ms = now_ms;
}

void lease_protocol_on_heartbeat(struct lease_protocol *p, int64_t now_ms,
				 int64_t epoch, gboolean is_holder)
{
	if (epoch > p->heard_epoch)
		p->heard_epoch = epoch;
	if (is_holder && epoch >= p->row.epoch)
		p->holder_heard_ms = now_ms;
	if (is_holder && epoch > p->row.epoch)
		p->valid_until_ms = 0;
}

void lease_protocol_drain(struct lease_protocol *p)
{
	p->is_draining = TRUE;
	p->valid_until_ms = 0;
	p->next_call_ms = 0;
}

gboolean lease_protocol_is_released(const struct lease_protocol *p)
{
	if (p->failed_releases >= MAX_FAILED_RELEASES)
		return TRUE;
	return p->call != LEASE_CALL_COMMIT && !p->is_unresolved && !is_ours(p);
}

/*
 * Returns when the caretaker role may start: for long enough, the table has not
 * answered and no holder has sent a heartbeat.
 */
static int64_t caretaker_due_ms(const struct lease_protocol *p)
{
	int64_t table_lost_ms =
		p->rules->expires_at(p->table_answer_ms, LEASE_TTL_MS);

	return MAX(table_lost_ms, p->holder_heard_ms + LEASE_HOLDER_SILENCE_MS);
}

static gboolean is_caretaker(const struct lease_protocol *p, int64_t now_ms)
{
	return !p->is_draining && p->rank == 0 && now_ms >= caretaker_due_ms(p);
}

static int64_t call_due_ms(const struct lease_protocol *p)
{
	if (p->call != LEASE_CALL_NONE)
		return WAKE_NEVER;
	if (p->is_draining && lease_protocol_is_released(p))
		return WAKE_NEVER;
	return p->next_call_ms;
}

static int64_t role_due_ms(const struct lease_protocol *p, int64_t now_ms)
{
	if (now_ms < p->valid_until_ms)
		return p->valid_until_ms;
	if (p->is_draining || is_caretaker(p, now_ms))
		return WAKE_NEVER;
	return MAX(caretaker_due_ms(p), now_ms);
}

int64_t lease_protocol_due_ms(const struct lease_protocol *p, int64_t now_ms)
{
	return MIN(call_due_ms(p), role_due_ms(p, now_ms));
}

enum pool_role lease_protocol_role(const struct lease_protocol *p,
				   int64_t now_ms, int64_t *epoch)
{
	*epoch = MAX(p->row.epoch, p->heard_epoch);
	if (now_ms < p->valid_until_ms) {
		*epoch = p->row.epoch;
		return POOL_ROLE_HOLDER;
	}
	if (*epoch > 0 && is_caretaker(p, now_ms))
		return POOL_ROLE_CARETAKER;
	return POOL_ROLE_NONE;
}
