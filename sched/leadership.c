#include "sched/leadership.h"

#include "base/json_member.h"
#include "base/log.h"

/* Largest plausible epoch; it grows by one with each takeover. */
#define MAX_EPOCH (INT64_C(1) << 53)
/* Renewal interval of a holder: less than half of the time to a takeover, so
 * that one renewal may fail. */
#define RENEW_INTERVAL_MS 400
/* A renewal without an answer is sent again after this time. */
#define RENEW_RETRY_MS 450
/* Time without a renewal after which the holder is treated as dead. A takeover
 * is conditional on the row, so that a renewal that a slow store delays as much
 * as the takeover still wins. Urgent work has to start within 1.5 s. */
#define HOLDER_TIMEOUT_MS 900
/* Time after its last confirmed renewal during which a holder acts: store
 * outages of up to about 4 s don't stop scheduling. */
#define ACT_LIMIT_MS 4000

void leadership_init(struct leadership *l, const char *self, int64_t jitter_ms)
{
	*l = (struct leadership){
		.self = g_strdup(self),
		.jitter_ms = jitter_ms,
	};
}

void leadership_clear(struct leadership *l)
{
	g_free(l->self);
	g_free(l->holder);
}

/* Raises the highest known epoch by the one in a row. */
static void record_epoch(struct leadership *l, int64_t epoch)
{
	struct log_line line;

	if (epoch >= 0 && epoch <= MAX_EPOCH) {
		l->epoch = MAX(l->epoch, epoch);
		return;
	}
	log_begin(&line, LOG_LEVEL_ERROR, "lease_epoch_invalid");
	log_int(&line, "epoch", epoch);
	log_end(&line);
}

void leadership_record_row(struct leadership *l, json_object *row,
			   int64_t version, int64_t now_ms)
{
	const char *holder = json_member_text(row, "holder");

	if (l->has_read_row && version <= l->version && version)
		return;
	l->has_read_row = TRUE;
	l->version = version;
	l->unchanged_since_ms = now_ms;
	record_epoch(l, json_member_int(row, "epoch"));
	g_free(l->holder);
	l->holder = g_strdup(holder);
	if (!holder || !holder[0])
		l->was_released = TRUE;
	else if (g_strcmp0(holder, l->self) != 0)
		l->was_released = FALSE;
	if (!l->is_holder)
		return;
	if (g_strcmp0(holder, l->self) != 0)
		l->is_holder = FALSE;
	else if (l->sent_ms)
		/* A renewal took effect whose answer may be lost. */
		l->renewed_ms = l->sent_ms;
}

void leadership_record_outage(struct leadership *l, int64_t now_ms)
{
	l->unchanged_since_ms = now_ms;
}

static gboolean is_lease_free(const struct leadership *l)
{
	/* The row names this process if its write took effect but the answer
	 * came too late or was lost. */
	return !l->holder || !l->holder[0] || g_str_equal(l->holder, l->self);
}

gboolean leadership_is_overdue(const struct leadership *l, int64_t now_ms)
{
	return l->is_holder && l->sent_ms &&
	       now_ms - l->sent_ms >= RENEW_RETRY_MS;
}

enum leadership_step leadership_next(const struct leadership *l, int64_t now_ms)
{
	if (!l->has_read_row || l->is_draining || l->sent_ms)
		return LEADERSHIP_NONE;
	if (l->is_holder)
		return now_ms - l->renewed_ms >= RENEW_INTERVAL_MS
			       ? LEADERSHIP_RENEW
			       : LEADERSHIP_NONE;
	if (is_lease_free(l))
		return now_ms - l->unchanged_since_ms >= l->jitter_ms
			       ? LEADERSHIP_ACQUIRE
			       : LEADERSHIP_NONE;
	return now_ms - l->unchanged_since_ms >=
			       HOLDER_TIMEOUT_MS + l->jitter_ms
		       ? LEADERSHIP_ACQUIRE
		       : LEADERSHIP_NONE;
}

static json_object *encode(const char *holder, int64_t epoch)
{
	json_object *row = json_object_new_object();

	json_object_object_add(row, "holder", json_object_new_string(holder));
	json_object_object_add(row, "epoch", json_object_new_int64(epoch));
	return row;
}

/* Returns the epoch to write for a step. */
static int64_t step_epoch(const struct leadership *l, enum leadership_step step)
{
	return step == LEADERSHIP_ACQUIRE ? l->epoch + 1 : l->epoch;
}

json_object *leadership_encode(const struct leadership *l,
			       enum leadership_step step)
{
	return encode(l->self, step_epoch(l, step));
}

json_object *leadership_encode_release(const struct leadership *l)
{
	return encode("", l->epoch);
}

void leadership_sent(struct leadership *l, enum leadership_step step,
		     int64_t now_ms)
{
	l->sent_ms = now_ms;
	l->sent_epoch = step_epoch(l, step);
	if (step == LEADERSHIP_ACQUIRE)
		l->quiet_ms = MAX(now_ms - l->unchanged_since_ms, 0);
}

gboolean leadership_written(struct leadership *l, enum leadership_step step,
			    int64_t version, int64_t now_ms)
{
	gboolean is_new = step == LEADERSHIP_ACQUIRE;

	/* The feed has already delivered the row of a later holder. */
	if (version < l->version) {
		l->sent_ms = 0;
		return FALSE;
	}
	if (is_new) {
		/* The feed may have delivered this row already, so that
		 * l->epoch + 1 would be too high. */
		l->epoch = l->sent_epoch;
		l->term_version = version;
	}
	l->is_holder = TRUE;
	l->renewed_ms = l->sent_ms;
	l->sent_ms = 0;
	l->version = version;
	l->unchanged_since_ms = now_ms;
	g_free(l->holder);
	l->holder = g_strdup(l->self);
	return is_new;
}

void leadership_write_failed(struct leadership *l)
{
	l->sent_ms = 0;
}

gboolean leadership_may_act(const struct leadership *l, int64_t now_ms)
{
	return leadership_act_left_ms(l, now_ms) > 0;
}

int64_t leadership_act_left_ms(const struct leadership *l, int64_t now_ms)
{
	return l->is_holder ? MAX(l->renewed_ms + ACT_LIMIT_MS - now_ms, 0) : 0;
}

int64_t leadership_previous_holder_ms(const struct leadership *l)
{
	if (l->was_released || l->epoch <= 1)
		return 0;
	/* Its last renewal was sent before the row was seen to change. */
	return MAX(ACT_LIMIT_MS - l->quiet_ms, 0);
}
