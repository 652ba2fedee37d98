/*
 * Randomly changed messages of the outside systems, from decoding to the orders
 * that the scheduler derives from them: configurations, registrations, reports
 * and jobs, and rows that another writer has overwritten. No message may end
 * the process, stall it, or make it use memory that it doesn't own.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/json_text.h"
#include "base/util.h"
#include "entry/peer_list.h"
#include "platform/wire_config.h"
#include "platform/wire_job.h"
#include "platform/wire_worker.h"
#include "sched/fleet_scheduler.h"
#include "sched/job_progress.h"
#include "sched/leadership.h"

#define ROUNDS 1500
#define MAX_CHANGES 3
#define MAX_DEPTH 3000
#define WORKERS 4
#define STEPS 12
#define STEP_MS 700
#define LEASE_MS 10000
#define T0_MS INT64_C(1000000)
/** Longest time that one message may keep the process busy. */
#define MAX_STALL_MS 1000

static const char config_text[] =
	"{\"Version\":3,\"Routes\":[{\"Name\":\"spot\",\"Host\":\"h\","
	"\"PathPrefix\":\"/\",\"Service\":\"salkhi\",\"Priority\":0,"
	"\"MaxAttempts\":3,\"Stretch\":2.5,\"TargetLatencyMs\":250,"
	"\"TimeoutMs\":9000,\"Public\":true},{\"Name\":\"bulk\",\"Host\":\"b\","
	"\"PathPrefix\":\"/\",\"Service\":\"salkhi\",\"Priority\":2,"
	"\"MaxAttempts\":2,\"Advice\":{\"DecideMs\":20,\"EachMs\":2,"
	"\"ValidMs\":900}}],\"Services\":[{\"Name\":\"salkhi\",\"HealthPath\":"
	"\"/ok\",\"AdmissionCheck\":true,\"Standby\":false}],\"Tenants\":[{"
	"\"Name\":\"rescue\",\"ApiKeys\":[\"k1\"],\"Guaranteed\":{\"Gpu\":8}}],"
	"\"Limits\":{\"MaxHeaderBytes\":8192,\"MaxBodyBytes\":65536,"
	"\"HeaderTimeoutMs\":2000,\"IdleTimeoutMs\":5000}}";

static const char registration_text[] =
	"{\"Service\":\"salkhi\",\"Zone\":\"tov-a\",\"State\":\"ready\","
	"\"Address\":\"127.0.0.1:8000\",\"Capacity\":{\"Cpu\":64000,"
	"\"MemMb\":131072,\"Gpu\":8},\"Labels\":[\"a\",\"r1\"],"
	"\"DrainRemainingMs\":0,\"born\":900000}";

static const char report_text[] =
	"{\"ClockMs\":1000000,\"born\":900000,\"Running\":[[\"job0.0.0.0\","
	"458753,\"c:1\",0.5,90],[\"job1.0.0.1\",458754,\"\",0.1,10]],"
	"\"Ended\":[[1,\"job0.0.0.1\",458755,\"done\",\"\"],[2,\"job1.0.0.0\","
	"458756,\"failed\",\"c:2\"]]}";

static const char job_text[] =
	"{\"Spec\":\"x\",\"Steps\":[{\"Count\":3,\"Cpu\":1000,\"MemMb\":500,"
	"\"Gpu\":1,\"EstimateMs\":900,\"Checkpointing\":true},{\"Count\":2,"
	"\"Cpu\":2000,\"MemMb\":500,\"Gpu\":2,\"EstimateMs\":700,\"After\":[0],"
	"\"Gang\":true,\"SameRack\":true,\"MaxPerServer\":1},{\"Count\":2,"
	"\"EstimateMs\":300,\"LongRunning\":true,\"TargetMs\":80,\"MayMiss\":1,"
	"\"Fills\":false,\"Speculative\":true}],\"RepeatCount\":2,"
	"\"FirstMs\":100,\"IntervalMs\":2000}";

static const char leadership_text[] =
	"{\"holder\":\"vm-1/55\",\"epoch\":8,\"released\":false}";

static const char peer_text[] =
	"{\"address\":\"127.0.0.1:7001\",\"failure_domain\":\"tov-a\","
	"\"cpu_share\":0.25,\"token\":\"t\",\"forward\":\"127.0.0.1:7002\"}";

/** Values that a changed member may get. */
static const char *const odd_values[] = {
	"null",
	"true",
	"-1",
	"0",
	"1",
	"65535",
	"65536",
	"2147483648",
	"9223372036854775807",
	"-9223372036854775808",
	"99999999999999999999999",
	"1e308",
	"-1e308",
	"1e999",
	"NaN",
	"-0.0",
	"\"\"",
	"\"x\"",
	"\"9223372036854775807\"",
	"\"127.0.0.1:65536\"",
	"\"\\u0000\\ud800\"",
	"[]",
	"{}",
	"[[[]]]",
	"[null]",
	"{\"\":{}}",
};

static json_object *odd_value(GRand *rng)
{
	guint choice = g_rand_int_range(rng, 0, G_N_ELEMENTS(odd_values) + 2);
	json_object *nested;
	char *text;

	if (choice < G_N_ELEMENTS(odd_values))
		return json_text_parse_value(odd_values[choice],
					     strlen(odd_values[choice]));
	if (choice == G_N_ELEMENTS(odd_values)) {
		text = g_strnfill(100000, 'a');
		nested = json_object_new_string(text);
		g_free(text);
		return nested;
	}
	nested = json_object_new_array();
	for (gint32 i = g_rand_int_range(rng, 1, MAX_DEPTH); i > 0; i--) {
		json_object *outer = json_object_new_array();

		json_object_array_add(outer, nested);
		nested = outer;
	}
	return nested;
}

/* Replaces, removes or repeats one member or element, at any depth. */
static void change(GRand *rng, json_object *json)
{
	gboolean descends = g_rand_int_range(rng, 0, 3) > 0;
	json_object *child;

	if (json_object_is_type(json, json_type_array) &&
	    json_object_array_length(json)) {
		gint32 len = (gint32)json_object_array_length(json);
		size_t at = g_rand_int_range(rng, 0, len);

		child = json_object_array_get_idx(json, at);
		if (descends && child)
			change(rng, child);
		else if (g_rand_boolean(rng))
			json_object_array_put_idx(json, at, odd_value(rng));
		else
			json_object_array_add(json, json_object_get(child));
	} else if (json_object_is_type(json, json_type_object) &&
		   json_object_object_length(json)) {
		gint32 at = g_rand_int_range(rng, 0,
					     json_object_object_length(json));
		const char *name = NULL;

		json_object_object_foreach(json, key, value)
		{
			(void)value;
			if (at-- == 0)
				name = key;
		}
		child = json_object_object_get(json, name);
		if (descends && (json_object_is_type(child, json_type_array) ||
				 json_object_is_type(child, json_type_object)))
			change(rng, child);
		else if (g_rand_int_range(rng, 0, 4))
			json_object_object_add(json, name, odd_value(rng));
		else
			json_object_object_del(json, name);
	}
}

/* Returns a message, changed in about half of the cases; NULL if its text no
 * longer is JSON. */
static json_object *message(GRand *rng, const char *text)
{
	json_object *json = json_text_parse_value(text, strlen(text));
	json_object *copy = NULL;
	char *bytes;
	size_t len;

	if (g_rand_boolean(rng))
		return json;
	for (gint32 i = g_rand_int_range(rng, 0, MAX_CHANGES); i >= 0; i--)
		change(rng, json);
	if (g_rand_int_range(rng, 0, 8))
		return json;
	/* One byte differs, or the end is missing. */
	bytes = g_strdup(json_object_to_json_string(json));
	len = strlen(bytes);
	bytes[g_rand_int_range(rng, 0, (gint32)len)] =
		(char)g_rand_int_range(rng, 0, 256);
	copy = json_text_parse_value(bytes,
				     g_rand_boolean(rng) ? len : len / 2);
	json_object_put(json);
	g_free(bytes);
	return copy;
}

struct world {
	struct fleet_scheduler s;
	struct fleet_config config;
	GRand *rng;
	int64_t now_ms;
	GPtrArray *orders; /* of struct sent_order */
	guint starts;
};

struct sent_order {
	gboolean is_start;
	char *worker;
	char *task;
	int64_t run;
};

static void order_free(gpointer data)
{
	struct sent_order *o = data;

	g_free(o->worker);
	g_free(o->task);
	g_free(o);
}

static void add_order(struct world *w, gboolean is_start, const char *worker,
		      const char *task, int64_t run)
{
	struct sent_order *o = g_new0(struct sent_order, 1);

	o->is_start = is_start;
	o->worker = g_strdup(worker);
	o->task = g_strdup(task);
	o->run = run;
	g_ptr_array_add(w->orders, o);
}

static void port_start(void *data, struct fleet_worker *worker,
		       const struct start_order *order)
{
	struct world *w = data;

	json_object_put(wire_worker_start(order));
	w->starts++;
	add_order(w, TRUE, worker->id, order->task, order->run);
}

static void port_stop(void *data, struct fleet_worker *worker, const char *task,
		      int64_t run)
{
	add_order(data, FALSE, worker->id, task, run);
}

static void answer_orders(struct world *w)
{
	GPtrArray *orders = w->orders;

	w->orders = g_ptr_array_new_with_free_func(order_free);
	for (guint i = 0; i < orders->len; i++) {
		const struct sent_order *o = orders->pdata[i];
		enum order_outcome outcome = g_rand_int_range(w->rng, 0, 3);

		if (o->is_start)
			fleet_scheduler_start_answered(
				&w->s, o->worker, o->task, o->run, outcome,
				REFUSAL_NO_RESOURCES, w->now_ms);
		else
			fleet_scheduler_stop_answered(&w->s, o->worker, o->task,
						      o->run, outcome,
						      w->now_ms);
	}
	g_ptr_array_unref(orders);
}

static void configure(struct world *w)
{
	struct fleet_config next = { 0 };
	json_object *body = message(w->rng, config_text);
	struct finding_list findings;

	finding_list_init(&findings);
	if (wire_config_decode(body, &next, &findings)) {
		w->s.config = NULL;
		fleet_config_clear(&w->config);
		w->config = next;
		w->s.config = &w->config;
	} else {
		fleet_config_clear(&next);
	}
	finding_list_clear(&findings);
	json_object_put(body);
}

static void register_worker(struct world *w, const char *id)
{
	struct worker_registration reg = { 0 };
	json_object *body = message(w->rng, registration_text);
	gboolean is_valid = wire_worker_registration(body, &reg);

	fleet_scheduler_update_worker(&w->s, id, is_valid ? &reg : NULL,
				      w->now_ms);
	if (fleet_worker(&w->s.fleet, id))
		fleet_worker(&w->s.fleet, id)->is_use_stored = TRUE;
	worker_registration_clear(&reg);
	json_object_put(body);
}

static void report(struct world *w, const char *id)
{
	struct fleet_worker *worker = fleet_worker(&w->s.fleet, id);
	json_object *body = message(w->rng, report_text);
	struct run_report r = { 0 };

	if (worker && wire_worker_report(body, &r))
		fleet_scheduler_apply_report(&w->s, worker, &r, w->now_ms - 1,
					     w->now_ms);
	if (worker)
		fleet_scheduler_renewal_end(&w->s, worker, w->now_ms);
	run_report_clear(&r);
	json_object_put(body);
}

/* Accepts a job as a client sends it, from a row as a later holder reads it. */
static void add_job(struct world *w, const char *id)
{
	json_object *body = message(w->rng, job_text);
	struct job_spec spec = { 0 };
	struct finding_list findings;
	json_object *row;

	finding_list_init(&findings);
	if (wire_job_decode(body, &spec, &findings)) {
		row = job_row_encode("spot", "rescue", &spec, 5000);
		if (!g_rand_int_range(w->rng, 0, 3))
			change(w->rng, row);
		fleet_scheduler_add_job(&w->s, id, row, 1, 6000, w->now_ms);
		json_object_put(row);
	}
	if (fleet_job(&w->s.fleet, id))
		fleet_job(&w->s.fleet, id)->is_active_stored = TRUE;
	job_spec_clear(&spec);
	finding_list_clear(&findings);
	json_object_put(body);
}

static void merge_progress(struct world *w, const char *id, int64_t version)
{
	struct fleet_job *job = fleet_job(&w->s.fleet, id);
	enum progress_cut cut;
	json_object *row;

	if (!job)
		return;
	row = job_progress_encode(job, G_MAXSIZE, &cut);
	for (gint32 i = g_rand_int_range(w->rng, 0, MAX_CHANGES); i >= 0; i--)
		change(w->rng, row);
	fleet_scheduler_merge_progress(&w->s, id, row, version);
	json_object_put(row);
}

static void run_step(struct world *w, guint step)
{
	char id[16];

	w->now_ms += STEP_MS;
	for (guint i = 0; i < WORKERS; i++) {
		g_snprintf(id, sizeof(id), "w%u", i);
		if (!step || !g_rand_int_range(w->rng, 0, 6))
			register_worker(w, id);
		report(w, id);
	}
	if (step < 3) {
		g_snprintf(id, sizeof(id), "job%u", step);
		add_job(w, id);
	} else if (!g_rand_int_range(w->rng, 0, 4)) {
		g_snprintf(id, sizeof(id), "job%u", step % 3);
		merge_progress(w, id, step + 1);
	}
	if (!step || !g_rand_int_range(w->rng, 0, 8))
		configure(w);
	fleet_scheduler_plan(&w->s, w->now_ms);
	answer_orders(w);
}

static void world_clear(struct world *w)
{
	fleet_scheduler_clear(&w->s);
	fleet_config_clear(&w->config);
	g_ptr_array_unref(w->orders);
	g_rand_free(w->rng);
}

static guint first_seed(void)
{
	const char *text = g_getenv("CS_SEED");

	return text ? (guint)atoi(text) : 1;
}

static guint last_seed(void)
{
	const char *text = g_getenv("CS_SEEDS");

	return first_seed() + (text		     ? (guint)atoi(text)
			       : g_getenv("CS_SEED") ? 1
						     : ROUNDS);
}

static void test_scheduler(void)
{
	const struct fleet_bounds bounds = { .lease_ms = LEASE_MS };
	guint starts = 0;

	for (guint seed = first_seed(); seed < last_seed(); seed++) {
		struct world w = {
			.rng = g_rand_new_with_seed(seed),
			.now_ms = T0_MS,
			.orders = g_ptr_array_new_with_free_func(order_free),
		};
		const struct fleet_ports ports = {
			.start = port_start,
			.stop = port_stop,
			.data = &w,
		};

		g_test_message("seed %u", seed);
		fleet_scheduler_init(&w.s, &bounds, &ports);
		fleet_scheduler_begin(&w.s, 7, 0);
		for (guint i = 0; i < STEPS; i++) {
			int64_t start_ms = util_monotonic_ms();

			run_step(&w, i);
			g_assert_cmpint(util_monotonic_ms() - start_ms, <,
					MAX_STALL_MS);
		}
		starts += w.starts;
		world_clear(&w);
	}
	/* Most rounds get as far as orders. */
	g_assert_cmpuint(starts, >=, last_seed() - first_seed());
}

static void test_rows(void)
{
	for (guint seed = first_seed(); seed < last_seed(); seed++) {
		GRand *rng = g_rand_new_with_seed(seed);
		GPtrArray *tried = g_ptr_array_new();
		struct leadership l;
		struct peer_list peers;

		g_test_message("seed %u", seed);
		leadership_init(&l, "vm-2/66", 10);
		peer_list_init(&peers, "vm-2", "tov-a");
		peer_list_begin_scan(&peers);
		for (int64_t i = 0; i < 8; i++) {
			json_object *row = message(rng, leadership_text);
			char *node = g_strdup_printf("vm-%d", (int)i);

			leadership_record_row(&l, row, i + 1, T0_MS + i * 2000);
			json_object_put(leadership_encode(
				&l, leadership_next(&l, T0_MS + i * 3000)));
			json_object_put(row);
			row = message(rng, peer_text);
			peer_list_add(&peers, node, row);
			json_object_put(row);
			g_free(node);
		}
		peer_list_end_scan(&peers);
		peer_list_pick(&peers, tried, T0_MS, rng);
		leadership_clear(&l);
		peer_list_clear(&peers);
		g_ptr_array_unref(tried);
		g_rand_free(rng);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet-mutation/scheduler", test_scheduler);
	g_test_add_func("/fleet-mutation/rows", test_rows);
	return g_test_run();
}
