#include <glib.h>
#include <string.h>

#include "base/json_text.h"
#include "request/admission.h"
#include "request/decision_log.h"
#include "request/endpoint_table.h"
#include "request/outlier.h"
#include "request/request.h"
#include "request/retry_budget.h"
#include "request/routing/routing.h"
#include "request/run_reply.h"

#define SEED 4
#define REQUEST_HEAD "{\"client_account\":\"a\",\"service\":\"s\","

static json_object *parse(const char *text)
{
	struct finding_list findings;
	struct json_text t;
	json_object *json;

	finding_list_init(&findings);
	json_text_parse(&t, "body", text, strlen(text), JSON_STRICT, &findings);
	json = json_object_get(t.root);
	json_text_clear(&t);
	finding_list_clear(&findings);
	return json;
}

static const struct {
	const char *body;
	const char *findings;
} body_cases[] = {
	{ REQUEST_HEAD "\"class\":\"spot\",\"deadline_ms\":2000,"
		       "\"is_repeatable\":true,\"payload\":{}}",
	  "" },
	{ REQUEST_HEAD "\"class\":\"bulk\",\"deadline_ms\":1,"
		       "\"is_repeatable\":false,\"idempotency_key\":\"k\","
		       "\"payload\":{}}",
	  "" },
	{ REQUEST_HEAD "\"class\":\"bulk\",\"deadline_ms\":1,"
		       "\"is_repeatable\":false,\"payload\":{}}",
	  "idempotency_key: missing, as is_repeatable is false (allowed: 1 "
	  "to 128 bytes, the same on a retry)\n" },
	{ REQUEST_HEAD "\"class\":\"huge\",\"deadline_ms\":-1,"
		       "\"is_repeatable\":1,\"payload\":{}}",
	  "class: unknown value (allowed: spot, bulk)\n"
	  "deadline_ms: value out of range (allowed: 1 to 3600000)\n"
	  "is_repeatable: wrong type (allowed: true or false)\n" },
	{ "[]", "body: wrong type (allowed: an object)\n" },
};

static void test_bodies(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(body_cases); i++) {
		json_object *json = parse(body_cases[i].body);
		struct request_spec spec = { 0 };
		struct finding_list findings;
		gboolean is_valid;
		char *text;

		finding_list_init(&findings);
		is_valid = request_spec_decode(json, &spec, &findings);
		text = finding_list_text(&findings);
		g_assert_cmpstr(text, ==, body_cases[i].findings);
		g_assert_cmpint(is_valid, ==, text[0] == '\0');
		g_free(text);
		finding_list_clear(&findings);
		request_spec_clear(&spec);
		json_object_put(json);
	}
}

static const struct {
	enum status status;
	guint code;
	const char *body;
	enum run_outcome outcome;
	gboolean is_not_started;
} reply_cases[] = {
	{ STATUS_OK, 200,
	  "{\"request_id\":\"r\",\"result\":{},\"slots\":8,\"slots_busy\":1}",
	  RUN_DONE, FALSE },
	{ STATUS_OK, 200, "{\"request_id\":\"other\",\"result\":{}}",
	  RUN_CROSSED, FALSE },
	{ STATUS_OK, 200, "{\"result\":{}}", RUN_CROSSED, FALSE },
	{ STATUS_OK, 200, "{\"request_id\":\"r\"}", RUN_FAILED, FALSE },
	{ STATUS_OK, 200, "[]", RUN_FAILED, FALSE },
	{ STATUS_OK, 500, "{\"request_id\":\"r\"}", RUN_FAILED, FALSE },
	{ STATUS_OK, 503, "{\"request_id\":\"r\",\"reason\":\"busy\"}",
	  RUN_BUSY, TRUE },
	{ STATUS_OK, 503, "{\"request_id\":\"r\",\"reason\":\"leaving\"}",
	  RUN_LEAVING, TRUE },
	/* A refusal of another request says nothing about this one. */
	{ STATUS_OK, 503, "{\"request_id\":\"other\",\"reason\":\"busy\"}",
	  RUN_CROSSED, FALSE },
	{ STATUS_OK, 503, "{\"request_id\":\"r\",\"reason\":\"tired\"}",
	  RUN_FAILED, FALSE },
	{ STATUS_UNAVAILABLE, 0, NULL, RUN_UNSENT, TRUE },
	{ STATUS_UNKNOWN, 0, NULL, RUN_LOST, FALSE },
};

static void test_replies(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(reply_cases); i++) {
		const char *text = reply_cases[i].body;
		json_object *body = text ? parse(text) : NULL;
		struct run_reply reply;

		run_reply_classify(reply_cases[i].status, reply_cases[i].code,
				   body, "r", &reply);
		g_assert_cmpint(reply.outcome, ==, reply_cases[i].outcome);
		g_assert_cmpint(run_outcome_is_not_started(reply.outcome), ==,
				reply_cases[i].is_not_started);
		json_object_put(body);
	}
}

static void list_endpoints(struct endpoint_table *t, guint count,
			   const char *failure_domain)
{
	for (guint i = 0; i < count; i++) {
		char *name = g_strdup_printf("%s-%u", failure_domain, i);
		struct endpoint_spec spec = {
			.name = name,
			.address = "127.0.0.1:1",
			.failure_domain = failure_domain,
		};

		endpoint_table_list_add(t, &spec);
		g_free(name);
	}
}

static struct endpoint_table *make_table(guint local, guint remote)
{
	struct endpoint_table *t = endpoint_table_new("tov-a");

	endpoint_table_list_begin(t, 0);
	list_endpoints(t, local, "tov-a");
	list_endpoints(t, remote, "tov-b");
	endpoint_table_list_end(t);
	return t;
}

/* The shares add up to the slots, for any number of gateways. */
static void test_shares(void)
{
	for (uint32_t gateways = 1; gateways <= 12; gateways++) {
		guint sums[50] = { 0 };
		guint max_limit = 0;

		for (uint32_t rank = 0; rank < gateways; rank++) {
			struct endpoint_table *t = make_table(50, 0);
			struct endpoint *e;

			endpoint_table_set_gateways(t, gateways, rank);
			for (guint i = 0; i < 50; i++) {
				e = g_ptr_array_index(t->endpoints, i);
				sums[i] += e->share;
				max_limit =
					MAX(max_limit, endpoint_limit(t, e, 0));
			}
			endpoint_table_free(t);
		}
		for (guint i = 0; i < 50; i++)
			g_assert_cmpuint(sums[i], ==, ENDPOINT_SLOTS);
		max_limit *= gateways;
		g_assert_cmpuint(max_limit, <=, ENDPOINT_MAX_CONNECTIONS);
	}
}

static const struct {
	uint32_t gateways;
	uint32_t in_flight; /* including the request that has the report */
	uint32_t busy;	    /* reported slots in use, without that request */
	uint32_t limit;
	int64_t age_ms;
} limit_cases[] = {
	{ 8, 1, 0, 8, 0 },   /* no other requests: all slots are available */
	{ 8, 1, 8, 1, 0 },   /* filled by others: only the own share */
	{ 8, 1, 5, 3, 0 },   /* the slots that others leave */
	{ 8, 3, 5, 5, 0 },   /* own requests don't count as those of others */
	{ 8, 1, 0, 1, 501 }, /* the report is too old */
	{ 1, 1, 8, 8, 0 },   /* the only gateway: its share is all slots */
	{ 16, 1, 0, 4, 0 },  /* 64 connections shared by 16 gateways */
};

static void test_limits(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(limit_cases); i++) {
		struct endpoint_table *t = make_table(1, 0);
		struct endpoint *e = g_ptr_array_index(t->endpoints, 0);

		endpoint_table_set_gateways(t, limit_cases[i].gateways, 0);
		for (uint32_t n = 0; n < limit_cases[i].in_flight; n++)
			endpoint_table_record_sent(t, e, 0);
		endpoint_table_apply_report(t, e, ENDPOINT_SLOTS,
					    limit_cases[i].busy, 0);
		endpoint_table_record_ended(t, e, 0);
		g_assert_cmpuint(endpoint_limit(t, e, limit_cases[i].age_ms),
				 ==, limit_cases[i].limit);
		endpoint_table_free(t);
	}
}

/*
 * With every routing policy, an endpoint that is listed as leaving or missing
 * from the list gets no new requests.
 */
static void test_leaving(void)
{
	const char *const *names = routing_policy_names();
	GRand *rand = g_rand_new_with_seed(SEED);

	for (guint i = 0; names[i]; i++) {
		struct routing_policy *p = routing_policy_new(names[i]);
		struct endpoint_table *t = make_table(2, 0);
		struct routing_query q = { .now_ms = 0 };
		struct routing_choice choice;
		struct endpoint_spec leaving = { "tov-a-0", "127.0.0.1:1",
						 "tov-a", TRUE };

		endpoint_table_list_begin(t, 0);
		endpoint_table_list_add(t, &leaving);
		endpoint_table_list_end(t);
		routing_choose(p, t, &q, rand, &choice);
		g_assert_null(choice.endpoint);
		endpoint_table_free(t);
		g_free(p);
	}
	g_rand_free(rand);
}

/*
 * An endpoint that is listed as live more than a minute after it became leaving
 * must have been restarted and is used again.
 */
static void test_restarted(void)
{
	struct endpoint_table *t = make_table(1, 0);
	struct endpoint *e = g_ptr_array_index(t->endpoints, 0);

	endpoint_table_set_state(t, e, ENDPOINT_LEAVING, 0);
	endpoint_table_list_begin(t, 60000);
	list_endpoints(t, 1, "tov-a");
	endpoint_table_list_end(t);
	g_assert_cmpuint(endpoint_limit(t, e, 60000), ==, 0);
	endpoint_table_list_begin(t, 60001);
	list_endpoints(t, 1, "tov-a");
	endpoint_table_list_end(t);
	g_assert_cmpuint(endpoint_limit(t, e, 60001), >, 0);
	endpoint_table_free(t);
}

/*
 * An endpoint that is missing from a list while it runs a request is used again
 * as soon as it is listed.
 */
static void test_absent(void)
{
	struct endpoint_table *t = make_table(1, 0);
	struct endpoint *e = g_ptr_array_index(t->endpoints, 0);

	endpoint_table_record_sent(t, e, 0);
	endpoint_table_list_begin(t, 10);
	endpoint_table_list_end(t);
	g_assert_cmpuint(endpoint_limit(t, e, 10), ==, 0);
	endpoint_table_record_ended(t, e, 20);
	endpoint_table_list_begin(t, 30);
	list_endpoints(t, 1, "tov-a");
	endpoint_table_list_end(t);
	g_assert_cmpuint(endpoint_limit(t, e, 30), >, 0);
	endpoint_table_free(t);
}

static const struct {
	guint local;
	guint remote;
	gboolean may_spill;
	const char *domain; /* of the chosen endpoint, NULL for none */
} spill_cases[] = {
	{ 2, 2, FALSE, "tov-a" }, { 2, 2, TRUE, "tov-a" },
	{ 0, 2, FALSE, NULL },	  { 0, 2, TRUE, "tov-b" },
	{ 0, 0, TRUE, NULL },
};

/* Every policy uses another failure domain only if allowed and needed. */
static void test_spill(void)
{
	const char *const *names = routing_policy_names();
	GRand *rand = g_rand_new_with_seed(SEED);

	for (guint n = 0; names[n]; n++) {
		struct routing_policy *p = routing_policy_new(names[n]);

		for (guint i = 0; i < G_N_ELEMENTS(spill_cases); i++) {
			struct endpoint_table *t = make_table(
				spill_cases[i].local, spill_cases[i].remote);
			struct routing_query q = {
				.may_spill = spill_cases[i].may_spill
			};
			struct routing_choice c;

			routing_choose(p, t, &q, rand, &c);
			g_assert_cmpstr(c.endpoint ? c.endpoint->failure_domain
						   : NULL,
					==, spill_cases[i].domain);
			endpoint_table_free(t);
		}
		g_free(p);
	}
	g_rand_free(rand);
}

/* A retry avoids the tried endpoint; of two, the less busy one is chosen. */
static void test_choice(void)
{
	struct routing_policy *p = routing_policy_new("power_of_two");
	struct endpoint_table *t = make_table(2, 0);
	struct endpoint *a = endpoint_table_find(t, "tov-a-0");
	struct endpoint *b = endpoint_table_find(t, "tov-a-1");
	struct routing_query q = { .tried = { b }, .tried_count = 1 };
	GRand *rand = g_rand_new_with_seed(SEED);
	struct routing_choice c;

	a->others_busy = 5;
	for (int i = 0; i < 20; i++) {
		routing_choose(p, t, &q, rand, &c);
		g_assert_true(!c.endpoint || c.endpoint == a);
	}
	q.tried_count = 0;
	for (int i = 0; i < 20; i++) {
		routing_choose(p, t, &q, rand, &c);
		g_assert_true(c.runner_up == NULL || c.endpoint == b);
	}
	g_rand_free(rand);
	endpoint_table_free(t);
	g_free(p);
}

#define CHOICES 5000

/* A retry always finds the only endpoint that was not tried. */
static void test_choice_untried(void)
{
	struct routing_policy *p = routing_policy_new(ROUTING_POLICY_DEFAULT);
	struct endpoint_table *t = make_table(2, 0);
	const struct endpoint *tried = endpoint_table_find(t, "tov-a-1");
	struct routing_query q = { .tried = { tried }, .tried_count = 1 };
	GRand *rand = g_rand_new_with_seed(SEED);
	struct routing_choice c;

	for (int i = 0; i < CHOICES; i++) {
		routing_choose(p, t, &q, rand, &c);
		g_assert_nonnull(c.endpoint);
		g_assert_true(c.endpoint != tried);
	}
	g_rand_free(rand);
	endpoint_table_free(t);
	g_free(p);
}

struct offer {
	const char *account;
	enum request_class class;
	enum reason reason; /* expected, REASON_NONE if queued */
	int64_t deadline_ms;
};

#define FAR_DEADLINE_MS 100000

static const struct offer offers[] = {
	{ "none", REQUEST_SPOT, REASON_UNKNOWN_ACCOUNT, FAR_DEADLINE_MS },
	{ "small", REQUEST_BULK, REASON_NONE, FAR_DEADLINE_MS },
	{ "small", REQUEST_BULK, REASON_NONE, FAR_DEADLINE_MS },
	{ "small", REQUEST_BULK, REASON_QUEUE_FULL, FAR_DEADLINE_MS },
	/* Each account has its own limits. */
	{ "large", REQUEST_BULK, REASON_NONE, FAR_DEADLINE_MS },
	{ "large", REQUEST_SPOT, REASON_DEADLINE, 0 },
	{ "large", REQUEST_SPOT, REASON_NONE, FAR_DEADLINE_MS },
	/* With four queued, the limit, a spot request displaces a bulk one. */
	{ "large", REQUEST_SPOT, REASON_NONE, FAR_DEADLINE_MS },
	{ "small", REQUEST_SPOT, REASON_NONE, FAR_DEADLINE_MS },
	{ "small", REQUEST_SPOT, REASON_RATE_LIMIT, FAR_DEADLINE_MS },
};

static struct admission *make_admission(void)
{
	const struct admission_options options = { .max_queued = 4 };
	const struct admission_account_spec accounts[] = {
		{ .name = "small",
		  .share = 1,
		  .requests_per_s = 4,
		  .queued_requests = 2 },
		{ .name = "large", .share = 2, .queued_requests = 100 },
	};
	struct admission *a = admission_new(&options);

	for (guint i = 0; i < G_N_ELEMENTS(accounts); i++)
		admission_set_account(a, &accounts[i], 0);
	return a;
}

static void test_offers(void)
{
	struct admission *a = make_admission();
	struct admission_item items[G_N_ELEMENTS(offers)] = { 0 };
	guint shed_count = 0;

	for (guint i = 0; i < G_N_ELEMENTS(offers); i++) {
		struct admission_item *shed = NULL;

		items[i].class = offers[i].class;
		items[i].deadline_ms = offers[i].deadline_ms;
		g_assert_cmpint(admission_offer(a, &items[i], offers[i].account,
						0, &shed),
				==, offers[i].reason);
		if (!shed)
			continue;
		shed_count++;
		g_assert_cmpint(shed->class, ==, REQUEST_BULK);
	}
	g_assert_cmpuint(shed_count, ==, 2);
	g_assert_cmpuint(admission_queued(a), ==, 4);
	admission_free(a);
}

static void offer_many(struct admission *a, struct admission_item *items,
		       guint count, const char *account,
		       enum request_class class)
{
	struct admission_item *shed;

	for (guint i = 0; i < count; i++) {
		items[i] = (struct admission_item){ .class = class,
						    .deadline_ms =
							    FAR_DEADLINE_MS };
		g_assert_cmpint(
			admission_offer(a, &items[i], account, 0, &shed), ==,
			REASON_NONE);
	}
}

/* Of 60 dispatches, an account with twice the share gets twice as many. */
static void test_fair_share(void)
{
	const struct admission_options options = { 0 };
	const struct admission_account_spec accounts[] = {
		{ .name = "one", .share = 1, .queued_requests = 500 },
		{ .name = "two", .share = 2, .queued_requests = 500 },
	};
	struct admission *a = admission_new(&options);
	struct admission_item one[500];
	struct admission_item two[50];
	GPtrArray *late = g_ptr_array_new();
	guint dispatched_two = 0;

	admission_set_account(a, &accounts[0], 0);
	admission_set_account(a, &accounts[1], 0);
	offer_many(a, one, 500, "one", REQUEST_SPOT);
	offer_many(a, two, 50, "two", REQUEST_SPOT);
	for (int i = 0; i < 60; i++) {
		struct admission_item *item = admission_next(a, 0, late);

		dispatched_two += item >= two && item < two + 50;
		admission_done(a, item, 10);
	}
	g_assert_cmpuint(dispatched_two, >=, 38);
	g_assert_cmpuint(dispatched_two, <=, 42);
	g_ptr_array_unref(late);
	admission_free(a);
}

#define FIRST_RUN_MS 260 /* includes the setup of connections */
#define USUAL_RUN_MS 40
#define USUAL_RUNS 12

/* A slow first run soon loses its weight in the usual service time. */
static void test_usual_run(void)
{
	const struct admission_options options = { 0 };
	const struct admission_account_spec account = {
		.name = "a", .share = 1, .queued_requests = 100
	};
	struct admission *a = admission_new(&options);
	struct admission_item items[1 + USUAL_RUNS];
	GPtrArray *late = g_ptr_array_new();

	admission_set_account(a, &account, 0);
	offer_many(a, items, G_N_ELEMENTS(items), "a", REQUEST_SPOT);
	for (guint i = 0; i < G_N_ELEMENTS(items); i++)
		admission_done(a, admission_next(a, 0, late),
			       i ? USUAL_RUN_MS : FIRST_RUN_MS);
	g_assert_cmpint(admission_service_ms(&items[0]), <, FIRST_RUN_MS);
	g_ptr_array_unref(late);
	admission_free(a);
}

/* Spot requests go first, but bulk requests get their minimum of the slots. */
static void test_class_order(void)
{
	const struct admission_options options = { 0 };
	const struct admission_account_spec account = {
		.name = "a", .share = 1, .queued_requests = 100
	};
	struct admission *a = admission_new(&options);
	struct admission_item spot[100];
	struct admission_item bulk[100];
	GPtrArray *late = g_ptr_array_new();
	guint dispatched[REQUEST_CLASS_COUNT] = { 0 };

	admission_set_account(a, &account, 0);
	admission_set_capacity(a, 40, 1);
	offer_many(a, bulk, 100, "a", REQUEST_BULK);
	offer_many(a, spot, 30, "a", REQUEST_SPOT);
	for (int i = 0; i < 34; i++)
		dispatched[admission_next(a, 0, late)->class]++;
	g_assert_cmpuint(dispatched[REQUEST_SPOT], ==, 30);
	g_assert_cmpuint(dispatched[REQUEST_BULK], ==, 4);
	/* Bulk requests leave a quarter of the slots free for spot requests. */
	while (admission_next(a, 0, late))
		dispatched[REQUEST_BULK]++;
	g_assert_cmpuint(dispatched[REQUEST_BULK], ==, 30);
	g_ptr_array_unref(late);
	admission_free(a);
}

static const struct {
	int64_t deadline_ms;
	enum reason reason; /* of a refusal on arrival */
	gboolean is_late;   /* refused at the dispatch at 200 ms */
} late_cases[] = {
	{ FAR_DEADLINE_MS, REASON_NONE, FALSE },
	{ 300, REASON_NONE, FALSE },
	{ 290, REASON_NONE, TRUE },
	{ 90, REASON_DEADLINE, FALSE },
};

/*
 * A request that can't meet its deadline is refused on arrival or when it would
 * be dispatched.
 */
static void test_late(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(late_cases); i++) {
		struct admission *a = make_admission();
		struct admission_item before[2];
		struct admission_item item = {
			.deadline_ms = late_cases[i].deadline_ms
		};
		GPtrArray *late = g_ptr_array_new();
		struct admission_item *shed;

		offer_many(a, before, 2, "large", REQUEST_SPOT);
		/* One took 100 ms, the other is still running. */
		admission_done(a, admission_next(a, 0, late), 100);
		admission_next(a, 0, late);
		g_assert_cmpint(admission_offer(a, &item, "large", 0, &shed),
				==, late_cases[i].reason);
		g_assert_cmpint(admission_next(a, 200, late) == &item, ==,
				late_cases[i].deadline_ms >= 300);
		g_assert_cmpint(late->len, ==, late_cases[i].is_late);
		g_ptr_array_unref(late);
		admission_free(a);
	}
}

/* Retries are limited to a tenth of first attempts plus a low constant rate. */
static void test_retry_budget(void)
{
	GRand *rand = g_rand_new_with_seed(SEED);
	struct retry_budget b;
	guint retries = 0;

	retry_budget_init(&b, 0);
	for (int64_t ms = 0; ms < 10000; ms++) {
		retry_budget_record_first(&b);
		retries += retry_budget_take(&b, ms);
	}
	g_assert_cmpuint(retries, >=, 1000);
	g_assert_cmpuint(retries, <=, 1000 + 3 * 10 + 3);
	for (uint32_t i = 1; i < 20; i++) {
		g_assert_cmpint(retry_delay_ms(i, rand), >=, 0);
		g_assert_cmpint(retry_delay_ms(i, rand), <=, 200);
	}
	g_rand_free(rand);
}

#define LEFT_MS 1500

static const struct {
	int64_t usual_ms;
	uint32_t attempts;
	int64_t left_ms;
	int64_t hedge_delay_ms;
} hedge_cases[] = {
	{ 5, 1, LEFT_MS, 250 },
	{ 100, 1, LEFT_MS, 400 },
	{ 100, 2, 4000, 800 },
	{ 300, 1, LEFT_MS, LEFT_MS / 2 },
	{ 100, 3, LEFT_MS, LEFT_MS / 2 },
	{ 5, 1, 100, 50 },
};

/* A hedged attempt is sent while there is still time for its answer. */
static void test_hedge_delay(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(hedge_cases); i++)
		g_assert_cmpint(retry_hedge_delay_ms(hedge_cases[i].usual_ms,
						     hedge_cases[i].attempts,
						     hedge_cases[i].left_ms),
				==, hedge_cases[i].hedge_delay_ms);
}

/* Failing endpoints are ejected, but at most a fifth of all. */
static void test_outlier_cap(void)
{
	struct endpoint_table *t = make_table(50, 0);
	struct outlier_policy o = { 0 };

	for (int round = 0; round < 5; round++) {
		for (guint i = 0; i < 50; i++)
			outlier_record(&o, t, t->endpoints->pdata[i],
				       OUTLIER_FAILED, REQUEST_SPOT, 0, 0);
	}
	g_assert_cmpuint(t->ejected_count, ==, 10);
	/* No cap for refused connections: such endpoints can't serve. */
	for (guint i = 0; i < 50; i++)
		outlier_record(&o, t, t->endpoints->pdata[i], OUTLIER_REFUSED,
			       REQUEST_SPOT, 0, 0);
	g_assert_cmpuint(t->ejected_count, ==, 50);
	endpoint_table_free(t);
}

/* After an ejection of 2 s the limit grows by one per second. */
static void test_outlier_return(void)
{
	struct endpoint_table *t = make_table(10, 0);
	struct endpoint *e = t->endpoints->pdata[0];
	struct outlier_policy o = { 0 };

	outlier_record(&o, t, e, OUTLIER_REFUSED, REQUEST_SPOT, 0, 0);
	g_assert_cmpuint(endpoint_limit(t, e, 0), ==, 0);
	outlier_readmit(t, 1999);
	g_assert_cmpint(e->state, ==, ENDPOINT_EJECTED);
	outlier_readmit(t, 2000);
	g_assert_cmpuint(endpoint_limit(t, e, 2000), ==, 1);
	g_assert_cmpuint(endpoint_limit(t, e, 5000), ==, 4);
	g_assert_cmpuint(endpoint_limit(t, e, 9000), ==, ENDPOINT_SLOTS);
	endpoint_table_free(t);
}

/* After a readmission one failure ejects again, for twice the time. */
static void test_outlier_again(void)
{
	struct endpoint_table *t = make_table(10, 0);
	struct endpoint *e = t->endpoints->pdata[0];
	struct outlier_policy o = { 0 };
	gboolean is_ejected;

	outlier_record(&o, t, e, OUTLIER_REFUSED, REQUEST_SPOT, 0, 0);
	outlier_readmit(t, 2000);
	is_ejected =
		outlier_record(&o, t, e, OUTLIER_FAILED, REQUEST_SPOT, 0, 9000);
	g_assert_true(is_ejected);
	g_assert_cmpint(e->ejected_until_ms, ==, 13000);
	endpoint_table_free(t);
}

static void test_outlier_slow(void)
{
	struct endpoint_table *t = make_table(10, 0);
	struct endpoint *slow = t->endpoints->pdata[0];
	struct outlier_policy o = { 0 };

	for (int round = 0; round < 20; round++) {
		for (guint i = 0; i < 10; i++)
			outlier_record(&o, t, t->endpoints->pdata[i],
				       OUTLIER_OK, REQUEST_SPOT,
				       i ? 10000 : 1000000, 0);
	}
	g_assert_cmpint(slow->state, ==, ENDPOINT_EJECTED);
	g_assert_cmpuint(t->ejected_count, ==, 1);
	endpoint_table_free(t);
}

/*
 * The last live endpoint is ejected only if it refuses connections, and a
 * single slow answer ejects no endpoint.
 */
struct outlier_case {
	const char *path; /* of the test case */
	guint endpoints;
	guint usual_answers; /* of each endpoint before the event */
	guint repeats;	     /* of the event, at the first endpoint */
	enum outlier_event event;
	int64_t latency_us;
	guint ejected; /* expected number of endpoints */
};

static const struct outlier_case outlier_cases[] = {
	{ "/requests/outlier-last-slow", 1, 20, 50, OUTLIER_OK, 1000000, 0 },
	{ "/requests/outlier-last-failed", 1, 20, 50, OUTLIER_FAILED, 0, 0 },
	{ "/requests/outlier-last-refused", 1, 20, 1, OUTLIER_REFUSED, 0, 1 },
	{ "/requests/outlier-one-slow", 2, 20, 1, OUTLIER_OK, 1000000, 0 },
	{ "/requests/outlier-first-slow", 2, 0, 1, OUTLIER_OK, 1000000, 0 },
	{ "/requests/outlier-many-slow", 2, 20, 8, OUTLIER_OK, 1000000, 1 },
	{ "/requests/outlier-two-failed", 2, 20, 3, OUTLIER_FAILED, 0, 1 },
};

#define USUAL_US 1000

static void test_outlier(gconstpointer data)
{
	const struct outlier_case *c = data;
	struct endpoint_table *t = make_table(c->endpoints, 0);
	struct outlier_policy o = { 0 };

	for (guint i = 0; i < c->usual_answers * c->endpoints; i++)
		outlier_record(&o, t, t->endpoints->pdata[i % c->endpoints],
			       OUTLIER_OK, REQUEST_SPOT, USUAL_US, 0);
	for (guint i = 0; i < c->repeats; i++)
		outlier_record(&o, t, t->endpoints->pdata[0], c->event,
			       REQUEST_SPOT, c->latency_us, 0);
	g_assert_cmpuint(t->ejected_count, ==, c->ejected);
	endpoint_table_free(t);
}

static void test_decisions(void)
{
	struct decision_log *log = decision_log_new(2);

	decision_set(&decision_log_add(log, "a")->state, "queued");
	decision_log_add(log, "b");
	g_assert_cmpstr(decision_log_find(log, "a")->state, ==, "queued");
	decision_log_add(log, "c");
	g_assert_null(decision_log_find(log, "a"));
	g_assert_nonnull(decision_log_find(log, "b"));
	decision_log_free(log);
}

#define DUE_SEEDS 200
#define DUE_ITEMS 40
#define DUE_STEP_MS 20

/*
 * Before the time that admission_due_ms() returns, no item expires and none can
 * be dispatched. A caller that sleeps until then misses nothing.
 */
static void run_due_seed(guint32 seed)
{
	struct admission *a = make_admission();
	struct admission_item items[DUE_ITEMS] = { 0 };
	GRand *rand = g_rand_new_with_seed(seed);
	GPtrArray *late = g_ptr_array_new();
	struct admission_item *shed;
	struct admission_item *item;
	guint offered = 0;

	for (int64_t now_ms = 0; now_ms < 4000; now_ms += DUE_STEP_MS) {
		gboolean is_due = admission_due_ms(a, now_ms) <= now_ms;

		admission_expire(a, now_ms, late);
		g_assert_true(is_due || late->len == 0);
		g_ptr_array_set_size(late, 0);
		item = g_rand_int_range(rand, 0, 4) == 0
			       ? admission_next(a, now_ms, late)
			       : NULL;
		g_assert_true(is_due || (!item && late->len == 0));
		if (item)
			admission_done(a, item, g_rand_int_range(rand, 1, 900));
		if (offered == DUE_ITEMS || g_rand_int_range(rand, 0, 5) > 0)
			continue;
		items[offered].class = (enum request_class)g_rand_int_range(
			rand, 0, REQUEST_CLASS_COUNT);
		items[offered].deadline_ms =
			now_ms + g_rand_int_range(rand, 1, 1500);
		admission_offer(a, &items[offered++], "large", now_ms, &shed);
	}
	g_ptr_array_unref(late);
	g_rand_free(rand);
	admission_free(a);
}

static void test_due(void)
{
	for (guint32 seed = 0; seed < DUE_SEEDS; seed++)
		run_due_seed(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/requests/bodies", test_bodies);
	g_test_add_func("/requests/run-replies", test_replies);
	g_test_add_func("/requests/endpoint-shares", test_shares);
	g_test_add_func("/requests/endpoint-limits", test_limits);
	g_test_add_func("/requests/endpoint-leaving", test_leaving);
	g_test_add_func("/requests/endpoint-restarted", test_restarted);
	g_test_add_func("/requests/endpoint-absent", test_absent);
	g_test_add_func("/requests/spill-over", test_spill);
	g_test_add_func("/requests/choice", test_choice);
	g_test_add_func("/requests/choice-untried", test_choice_untried);
	g_test_add_func("/requests/admission-offers", test_offers);
	g_test_add_func("/requests/admission-fair-share", test_fair_share);
	g_test_add_func("/requests/admission-classes", test_class_order);
	g_test_add_func("/requests/admission-late", test_late);
	g_test_add_func("/requests/admission-usual-run", test_usual_run);
	g_test_add_func("/requests/admission-due", test_due);
	g_test_add_func("/requests/retry-budget", test_retry_budget);
	g_test_add_func("/requests/retry-progress", test_hedge_delay);
	g_test_add_func("/requests/outlier-cap", test_outlier_cap);
	g_test_add_func("/requests/outlier-return", test_outlier_return);
	g_test_add_func("/requests/outlier-again", test_outlier_again);
	g_test_add_func("/requests/outlier-slow", test_outlier_slow);
	for (guint i = 0; i < G_N_ELEMENTS(outlier_cases); i++)
		g_test_add_data_func(outlier_cases[i].path, &outlier_cases[i],
				     test_outlier);
	g_test_add_func("/requests/decision-log", test_decisions);
	return g_test_run();
}
