#include "daemon/attempt.h"

#include "base/log.h"
#include "base/util.h"
#include "daemon/dispatcher_state.h"
#include "daemon/http_service.h"
#include "request/run_reply.h"

static enum outlier_event outlier_event_of(enum run_outcome outcome)
{
	if (outcome == RUN_UNSENT)
		return OUTLIER_REFUSED;
	if (outcome == RUN_FAILED || outcome == RUN_CROSSED ||
	    outcome == RUN_LOST)
		return OUTLIER_FAILED;
	return OUTLIER_OK;
}

static void log_ejection(const struct endpoint *e, enum run_outcome outcome)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "endpoint_ejected");
	log_str(&line, "endpoint", e->name);
	log_str(&line, "reason", run_outcome_name(outcome));
	log_int(&line, "until_ms", e->ejected_until_ms);
	log_end(&line);
}

/* Updates the endpoint's load, state and outlier statistics from a reply. */
static void update_endpoint(struct attempt *a, const struct run_reply *reply,
			    int64_t now_ms)
{
	struct flight *f = a->flight;
	struct dispatcher *d = f->dispatcher;
	struct endpoint *e = a->endpoint;
	int64_t latency_us = g_get_monotonic_time() - a->sent_us;
	gboolean is_ejected = FALSE;

	if (reply->slots > 0)
		endpoint_table_apply_report(
			d->endpoints, e, (uint32_t)reply->slots,
			(uint32_t)reply->slots_busy, now_ms);
	if (reply->outcome == RUN_BUSY)
		endpoint_table_record_refusal(d->endpoints, e, now_ms);
	else if (reply->outcome == RUN_LEAVING)
		endpoint_table_set_state(d->endpoints, e, ENDPOINT_LEAVING,
					 now_ms);
	else
		is_ejected = outlier_record(&d->outlier, d->endpoints, e,
					    outlier_event_of(reply->outcome),
					    f->item.class, latency_us, now_ms);
	if (is_ejected) {
		counter_add(d->ejections, 1);
		log_ejection(e, reply->outcome);
	}
	endpoint_table_record_ended(d->endpoints, e, now_ms);
}

static void on_reply(const struct http_reply *http, void *data)
{
	struct attempt *a = data;
	struct flight *f = a->flight;
	struct dispatcher *d = f->dispatcher;
	int64_t now_ms = util_monotonic_ms();
	struct run_reply reply;

	a->call = NULL;
	run_reply_classify(http->status, http->code, http->body, f->id, &reply);
	update_endpoint(a, &reply, now_ms);
	flight_on_reply(f, a, &reply, now_ms);
	dispatcher_pump(d);
}

static json_object *run_body(const struct flight *f)
{
	json_object *body = json_object_new_object();
	json_object *work_ms = NULL;

	json_object_object_add(body, "request_id",
			       json_object_new_string(f->id));
	if (json_object_is_type(f->spec.payload, json_type_object))
		json_object_object_get_ex(f->spec.payload, "work_ms", &work_ms);
	json_object_object_add(body, "work_ms",
			       work_ms ? json_object_get(work_ms)
				       : json_object_new_int(0));
	json_object_object_add(body, "payload",
			       json_object_get(f->spec.payload));
	return body;
}

void attempt_start(struct attempt *a, struct flight *f, struct endpoint *e,
		   int64_t now_ms)
{
	struct dispatcher *d = f->dispatcher;
	json_object *body = run_body(f);
	struct http_call_spec call = {
		.method = "POST",
		.address = e->address,
		.path = "/run",
		.body = body,
		.timeout_ms = MAX(f->deadline_ms - now_ms, 1),
		.on_reply = on_reply,
		.data = a,
	};

	*a = (struct attempt){ .flight = f, .endpoint = e };
	a->sent_us = g_get_monotonic_time();
	endpoint_table_record_sent(d->endpoints, e, now_ms);
	a->call = http_client_send(http_client_of(d->kernel), &call);
	json_object_put(body);
}

void attempt_cancel(struct attempt *a, int64_t now_ms)
{
	struct flight *f = a->flight;
	struct dispatcher *d = f->dispatcher;

	http_call_cancel(a->call);
	a->call = NULL;
	if (a->is_overdue)
		outlier_record(&d->outlier, d->endpoints, a->endpoint,
			       OUTLIER_FAILED, f->item.class, 0, now_ms);
	endpoint_table_record_ended(d->endpoints, a->endpoint, now_ms);
}
