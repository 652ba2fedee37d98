#include "daemon/flight.h"

#include "base/log.h"
#include "base/util.h"
#include "daemon/dispatcher_state.h"

static void log_accepted(const struct flight *f)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "accepted");
	log_str(&line, "request", f->id);
	log_str(&line, "client_account", f->spec.client_account);
	log_str(&line, "class", request_class_names[f->spec.class]);
	log_str(&line, "key", f->spec.idempotency_key);
	log_int(&line, "caller_attempt", f->spec.attempt);
	log_int(&line, "deadline_ms", f->spec.deadline_ms);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

void flight_log_failure(const struct flight *f, const struct endpoint *e,
			const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "attempt_failed");
	log_str(&line, "request", f->id);
	log_str(&line, "endpoint", e->name);
	log_str(&line, "reason", reason);
	log_int(&line, "attempts", f->attempt_count);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

void flight_log_no_hedge(const struct flight *f, const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "no_retry");
	log_str(&line, "request", f->id);
	log_str(&line, "reason", reason);
	log_int(&line, "attempts", f->attempt_count);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

void flight_record_arrival(const struct flight *f)
{
	struct decision *decision =
		decision_log_add(f->dispatcher->decisions, f->id);

	decision_set(&decision->client_account, f->spec.client_account);
	decision_set(&decision->class, request_class_names[f->spec.class]);
	decision_set(&decision->state, "queued");
	decision->arrival_ms = util_wall_ms();
	decision->config_version = f->dispatcher->config_version;
	log_accepted(f);
}

static void log_route(const struct flight *f,
		      const struct routing_choice *choice)
{
	const struct endpoint *e = choice->endpoint;
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "route");
	log_str(&line, "request", f->id);
	log_str(&line, "choice", e->name);
	log_str(&line, "runner_up",
		choice->runner_up ? choice->runner_up->name : "");
	log_str(&line, "reason", choice->reason);
	log_int(&line, "in_flight", e->in_flight);
	log_int(&line, "others_busy", e->others_busy);
	log_int(&line, "attempt", f->attempt_count);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

void flight_record_route(struct flight *f, const struct routing_choice *choice)
{
	struct decision *decision;

	log_route(f, choice);
	decision = decision_log_find(f->dispatcher->decisions, f->id);
	if (!decision)
		return;
	decision_set(&decision->state, "sent");
	decision_set(&decision->endpoint, choice->endpoint->name);
	decision_set(&decision->runner_up,
		     choice->runner_up ? choice->runner_up->name : "");
	decision_set(&decision->choice, choice->reason);
	decision->attempts = f->attempt_count;
	decision->config_version = f->dispatcher->config_version;
	if (f->attempt_count == 1)
		decision->waited_ms = util_monotonic_ms() - f->arrival_ms;
}

static void log_answer(const struct flight *f, const char *event,
		       const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_str(&line, "request", f->id);
	log_str(&line, "client_account", f->spec.client_account);
	log_str(&line, "class", request_class_names[f->spec.class]);
	log_str(&line, "key", f->spec.idempotency_key);
	log_str(&line, "endpoint", f->endpoint ? f->endpoint->name : "");
	log_str(&line, "reason", reason);
	log_int(&line, "attempts", f->attempt_count);
	log_int(&line, "age_ms", util_monotonic_ms() - f->arrival_ms);
	log_int(&line, "config_version", f->dispatcher->config_version);
	log_end(&line);
}

void flight_record_answer(struct flight *f, enum answer_kind kind,
			  enum reason reason)
{
	struct dispatcher *d = f->dispatcher;
	struct decision *decision = decision_log_find(d->decisions, f->id);
	int64_t total_ms = util_monotonic_ms() - f->arrival_ms;

	counter_add(d->answers[kind], 1);
	histogram_record(d->latency, total_ms * US_PER_MS);
	log_answer(f, answer_name(kind), reason_name(reason));
	if (!decision)
		return;
	decision_set(&decision->state, answer_name(kind));
	decision_set(&decision->reason, reason_name(reason));
	decision->total_ms = total_ms;
}
