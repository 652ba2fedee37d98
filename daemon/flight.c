#include "daemon/flight.h"

#include "base/util.h"
#include "daemon/dispatcher_state.h"

void flight_free(gpointer data)
{
	struct flight *f = data;

	if (f->timer)
		g_source_remove(f->timer);
	for (guint i = 0; i < FLIGHT_MAX_ACTIVE_ATTEMPTS; i++) {
		if (f->attempt_slots[i].call)
			http_call_cancel(f->attempt_slots[i].call);
	}
	request_spec_clear(&f->spec);
	g_free(f->id);
	g_free(f);
}

/* Cancels the flight's calls and timer and removes it from all queues. */
static void flight_detach(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();

	for (guint i = 0; i < FLIGHT_MAX_ACTIVE_ATTEMPTS; i++) {
		if (f->attempt_slots[i].call)
			attempt_cancel(&f->attempt_slots[i], now_ms);
	}
	if (f->timer)
		g_source_remove(f->timer);
	f->timer = 0;
	admission_remove(d->admission, &f->item);
	g_queue_remove(&d->ready, f);
	if (f->state == FLIGHT_WRITING_CLAIM)
		d->claiming--;
	if (f->is_counted)
		admission_done(d->admission, &f->item, -1);
	f->is_counted = FALSE;
	f->state = FLIGHT_DELAYED;
}

/* Answers and frees the flight. Its claim, if any, must have ended. */
static void flight_answer(struct flight *f, enum answer_kind kind,
			  enum reason reason, json_object *result)
{
	struct dispatch_answer answer = {
		.request_id = f->id,
		.kind = kind,
		.reason = reason,
		.result = result,
		.endpoint = f->endpoint ? f->endpoint->name : NULL,
	};

	flight_detach(f);
	flight_record_answer(f, kind, reason);
	f->fn(&answer, f->data);
	g_hash_table_remove(f->dispatcher->flights, f);
}

void flight_finish(struct flight *f, enum answer_kind kind, enum reason reason,
		   json_object *result)
{
	struct claim_handle *claim = f->claim;

	f->claim = NULL;
	if (claim)
		claim_handle_finish(claim, kind, reason, result);
	flight_answer(f, kind, reason, result);
}

void flight_refuse(struct flight *f, enum reason reason)
{
	if (f->may_have_run) {
		flight_finish(f, ANSWER_UNKNOWN, REASON_LOST_ANSWER, NULL);
		return;
	}
	if (!f->claim || f->is_claim_won) {
		flight_finish(f, ANSWER_NOT_RUN, reason, NULL);
		return;
	}
	flight_detach(f);
	claim_handle_refuse(f->claim, reason);
}

void flight_mark_ready(struct flight *f)
{
	f->state = FLIGHT_READY;
	g_queue_push_tail(&f->dispatcher->ready, f);
}

void flight_enqueue(struct flight *f)
{
	struct dispatcher *d = f->dispatcher;
	struct admission_item *shed = NULL;
	enum reason reason;

	f->state = FLIGHT_QUEUED;
	if (!dispatcher_has_endpoints(d)) {
		flight_refuse(f, REASON_NO_ENDPOINT);
		return;
	}
	dispatcher_set_capacity(d);
	reason = admission_offer(d->admission, &f->item, f->spec.client_account,
				 util_monotonic_ms(), &shed);
	if (shed)
		flight_refuse((struct flight *)shed, REASON_SHED);
	if (reason != REASON_NONE)
		flight_refuse(f, reason);
	else
		dispatcher_pump(d);
}

/*
 * Also called after a write conflict, with the flight in FLIGHT_WRITING_CLAIM:
 * the attempt that wrote the row first did not run, so this one may try again.
 */
static void on_claim_ready(void *data)
{
	struct flight *f = data;

	flight_detach(f);
	flight_enqueue(f);
}

static void on_claim_won(void *data)
{
	struct flight *f = data;
	struct dispatcher *d = f->dispatcher;

	f->is_claim_won = TRUE;
	d->claiming--;
	flight_mark_ready(f);
	dispatcher_pump(d);
}

static void on_claim_answer(enum answer_kind kind, enum reason reason,
			    json_object *result, void *data)
{
	struct flight *f = data;

	f->claim = NULL;
	flight_answer(f, kind, reason, result);
}

const struct claim_events flight_claim_events = {
	.on_ready = on_claim_ready,
	.on_won = on_claim_won,
	.on_answer = on_claim_answer,
};
