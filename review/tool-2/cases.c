/* The cases of this review; each claim.txt says what its case is about. */
#include <stdio.h>
#include <string.h>

#include "base/json_member.h"
#include "base/json_text.h"
#include "base/util.h"
#include "review/tool-2/rig.h"
#include "standin/common/steppe_json.h"

#define HOST "nony24.example"
#define KEY_A "ka"
#define KEY_B "kb"

/* A desired state: VERSION, ROUTES, and two tenants with their guarantees. */
#define CONFIG(version, routes, gpu_a, gpu_b)                                 \
	"{\"Version\":" version ",\"Routes\":[" routes                        \
	"],\"Services\":[{\"Name\":\"" SERVICE                                \
	"\",\"AdmissionCheck\":false}],\"Tenants\":[{\"Name\":\"press-a\","   \
	"\"ApiKeys\":[\"" KEY_A "\"],\"Guaranteed\":{\"Gpu\":" gpu_a "}},"    \
	"{\"Name\":\"press-b\",\"ApiKeys\":[\"" KEY_B "\"],\"Guaranteed\":{"  \
	"\"Gpu\":" gpu_b "}}],\"Limits\":{\"MaxHeaderBytes\":16384,"          \
	"\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":" \
	"60000}}"
#define ROUTE(name, priority)                                                  \
	"{\"Name\":\"" name "\",\"Host\":\"" HOST "\",\"PathPrefix\":\"/" name \
	"/\",\"Service\":\"" SERVICE "\",\"Priority\":" priority               \
	",\"MaxAttempts\":4,\"Stretch\":2,\"TargetLatencyMs\":1000,"           \
	"\"TimeoutMs\":10000}"

#define TICK_MS 50

/* A stretch of time during which something holds. */
struct stretch {
	int64_t since_ms; /* -1: doesn't hold now */
	int64_t longest_ms;
};

static void stretch_add(struct stretch *s, const struct rig *g, gboolean holds)
{
	if (!holds) {
		s->since_ms = -1;
		return;
	}
	if (s->since_ms < 0)
		s->since_ms = rig_now(g);
	s->longest_ms = MAX(s->longest_ms, rig_now(g) - s->since_ms);
}

/* Runners on which a work unit of @gpu accelerators fits now. */
static guint fitting(const struct rig *g, int64_t gpu)
{
	guint n = 0;

	for (guint i = 0; i < g->runners->len; i++)
		n += RUNNER_GPU - runner_gpu_used(g->runners->pdata[i]) >= gpu;
	return n;
}

static gboolean is_under_half(const struct rig *g)
{
	return 2 * rig_gpu_used(g) < RUNNER_GPU * (int64_t)g->runners->len;
}

static char *job_state(struct rig *g, guint entry, const char *path,
		       const char *key)
{
	char *text = NULL;
	char *state = NULL;
	json_object *body;

	if (rig_call(g, entry, "GET", HOST, path, key, NULL, &text) == 200) {
		body = json_text_parse_value(text, strlen(text));
		state = g_strdup(json_member_text(body, "State"));
		json_object_put(body);
	}
	g_free(text);
	return state;
}

/*
 * long-work: two work units that each need more than half of a runner, on two
 * runners. With the trouble their work takes hours, else 40 s.
 */
#define LONG_GPU 5
#define LONG_WATCH_MS 75000

static int run_long_work(struct rig *g)
{
	const char *id = "5c0e7a21d94b3601";
	struct stretch idle = { -1, 0 };
	int64_t work_ms = g->has_trouble ? 4 * 3600000 : 40000;
	char *body = g_strdup_printf(
		"{\"Spec\":\"run_ms=%" G_GINT64_FORMAT
		" gpu=%d\",\"Steps\":[{\"Count\":2,\"Cpu\":8000,\"MemMb\":1024,"
		"\"Gpu\":%d,\"EstimateMs\":%" G_GINT64_FORMAT "}]}",
		work_ms, LONG_GPU, LONG_GPU, work_ms);
	gboolean is_accepted;
	int64_t traffic_end_ms;
	char *state;

	rig_configure(g, CONFIG("3", ROUTE("scan", "1"), "8", "8"));
	runner_new(g, "i-7f3a91c0", "a", "r1");
	runner_new(g, "i-7f3a91c1", "a", "r2");
	if (!rig_start(g, 2))
		return 2;
	is_accepted = rig_submit(g, HOST, "/scan/", id, KEY_A, body);
	g_free(body);
	if (!is_accepted)
		return 2;
	traffic_end_ms = rig_now(g);
	while (rig_now(g) < traffic_end_ms + LONG_WATCH_MS) {
		gboolean is_checked = rig_now(g) >= traffic_end_ms + FINISH_MS;
		gboolean is_over = !g->has_trouble &&
				   rig_now(g) > traffic_end_ms + work_ms;

		stretch_add(&idle, g,
			    is_checked && !is_over &&
				    !rig_running(g, "5c0e7a21d94b3601.") &&
				    fitting(g, LONG_GPU) >= 2 &&
				    is_under_half(g));
		rig_wait(g, TICK_MS);
	}
	state = job_state(g, 0, "/scan/5c0e7a21d94b3601", KEY_A);
	rig_log(g,
		"judge: %u starts of 2 work units; longest time with nothing "
		"running beside free capacity: %" G_GINT64_FORMAT
		" ms (allowed: under 3000); state %s",
		rig_starts(g, "5c0e7a21d94b3601."), idle.longest_ms,
		state ? state : "unknown");
	if (!g->has_trouble && g_strcmp0(state, "completed") != 0)
		return 1;
	g_free(state);
	return idle.longest_ms >= 3000;
}

/*
 * late-counts: jobs arrive that have to wait for capacity. The store leaves one
 * write unanswered, that of the first count of waiting jobs, and carries it out
 * late.
 */
#define LATE_MS 5000
#define EARLY_JOBS 3
#define WAITING_JOBS 24
#define LATE_WATCH_MS 25000

static gboolean was_late;

static int64_t choose_late(struct rig *g, json_object *body)
{
	json_object *sets = json_member(body, "SetKeys");

	for (size_t i = 0; !was_late && i < json_object_array_length(sets);
	     i++) {
		const char *table = steppe_text(
			json_object_array_get_idx(sets, i), "Table");

		was_late = g_str_equal(table, "queues");
	}
	if (!was_late)
		return 0;
	store_set_late(g->store, NULL);
	return LATE_MS;
}

static int64_t read_pending(struct rig *g, guint entry)
{
	char *text = NULL;
	json_object *body;
	int64_t n = -1;

	if (rig_call(g, entry, "GET", HOST, "/scan/", KEY_A, NULL, &text) ==
	    200) {
		body = json_text_parse_value(text, strlen(text));
		n = json_member_int(body, "Pending");
		json_object_put(body);
	}
	g_free(text);
	return n;
}

static int run_late_counts(struct rig *g)
{
	const char *body = "{\"Spec\":\"run_ms=100000 gpu=8\",\"Steps\":[{"
			   "\"Count\":1,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":8,"
			   "\"EstimateMs\":100000}]}";
	int64_t accepted_ms[WAITING_JOBS];
	int64_t end_ms;
	guint bad = 0;

	rig_configure(g, CONFIG("3", ROUTE("scan", "1"), "8", "8"));
	runner_new(g, "i-7f3a91c0", "a", "r1");
	runner_new(g, "i-7f3a91c1", "a", "r2");
	if (!rig_start(g, 2))
		return 2;
	/* These two use all runners until after the end. */
	if (!rig_submit(g, HOST, "/scan/", "0c0e7a21d94b3601", KEY_A, body) ||
	    !rig_submit(g, HOST, "/scan/", "0c0e7a21d94b3602", KEY_A, body))
		return 2;
	rig_wait(g, 2000);
	if (rig_gpu_used(g) != 2 * RUNNER_GPU)
		return 2;
	if (g->has_trouble)
		store_set_late(g->store, choose_late);
	for (guint i = 0; i < WAITING_JOBS; i++) {
		char *id = g_strdup_printf("1c0e7a21d94b36%02x", i);

		rig_submit_later(g, HOST, "/scan/", id, KEY_A, body,
				 &accepted_ms[i]);
		g_free(id);
		rig_wait(g, i == EARLY_JOBS - 1 ? 1500 : 50);
	}
	if (g->has_trouble && !was_late)
		return 2;
	end_ms = rig_now(g);
	/* The late write and the stable window after it. */
	rig_wait(g, LATE_MS + STABLE_WINDOW_MS);
	while (rig_now(g) < end_ms + LATE_WATCH_MS) {
		for (guint k = 0; k < g->entry_count; k++) {
			int64_t pending = read_pending(g, k);
			guint owed = 0;

			for (guint i = 0; i < WAITING_JOBS; i++)
				owed += accepted_ms[i] >= 0 &&
					rig_now(g) - accepted_ms[i] >
						VISIBLE_MS + 2000;
			if (pending >= 0 && 2 * pending < owed) {
				bad++;
				rig_log(g,
					"judge: %" G_GINT64_FORMAT
					" pending, but %u jobs were accepted "
					"over 5 s ago and haven't begun",
					pending, owed);
			}
		}
		rig_wait(g, 1000);
	}
	if (rig_starts(g, "1c0e") > 0)
		return 2;
	return bad > 0;
}

/*
 * borrowed: one tenant's jobs of priority 0 use all accelerators, half of them
 * borrowed; then the other tenant's job needs its guarantee.
 */
#define BORROW_WATCH_MS 40000

static int run_borrowed(struct rig *g)
{
	const char *body = "{\"Spec\":\"run_ms=100000 gpu=4\",\"Steps\":[{"
			   "\"Count\":1,\"Cpu\":4000,\"MemMb\":1024,\"Gpu\":4,"
			   "\"EstimateMs\":100000}]}";
	const char *id = "2c0e7a21d94b3601";
	guint jobs = g->has_trouble ? 8 : 4;
	int64_t accepted_ms;
	int64_t begun_ms = -1;

	rig_configure(g, CONFIG("3", ROUTE("read", "0"), "16", "16"));
	for (guint i = 0; i < 4; i++) {
		char *name = g_strdup_printf("i-7f3a91c%u", i);

		runner_new(g, name, "a", i < 2 ? "r1" : "r2");
		g_free(name);
	}
	if (!rig_start(g, 2))
		return 2;
	for (guint i = 0; i < jobs; i++) {
		char *other = g_strdup_printf("0c0e7a21d94b360%u", i);
		gboolean is_accepted =
			rig_submit(g, HOST, "/read/", other, KEY_A, body);

		g_free(other);
		if (!is_accepted)
			return 2;
	}
	rig_wait(g, 3000);
	if (rig_gpu_used(g) != 4 * jobs)
		return 2;
	rig_wait(g, STABLE_WINDOW_MS);
	if (!rig_submit(g, HOST, "/read/", id, KEY_B,
			"{\"Spec\":\"run_ms=5000 gpu=8\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":8,"
			"\"EstimateMs\":5000}]}"))
		return 2;
	accepted_ms = rig_now(g);
	while (rig_now(g) < accepted_ms + BORROW_WATCH_MS && begun_ms < 0) {
		if (rig_starts(g, "2c0e7a21d94b3601."))
			begun_ms = rig_now(g);
		rig_wait(g, 10);
	}
	rig_log(g,
		"judge: the job of tenant press-b (8 of its 16 guaranteed "
		"accelerators) %s %" G_GINT64_FORMAT
		" ms after its acknowledgement (allowed: %d)",
		begun_ms < 0 ? "hasn't begun" : "has begun",
		(begun_ms < 0 ? rig_now(g) : begun_ms) - accepted_ms,
		RECLAIM_MS);
	return begun_ms < 0 || begun_ms - accepted_ms > RECLAIM_MS;
}

/*
 * removed-route: a version removes the route of a job whose second step has not
 * begun.
 */
#define REMOVED_WATCH_MS 45000

static int run_removed_route(struct rig *g)
{
	const char *id = "3c0e7a21d94b3601";
	struct stretch idle = { -1, 0 };
	int64_t end_ms;

	rig_configure(g, CONFIG("3", ROUTE("scan", "1") "," ROUTE("read", "0"),
				"8", "8"));
	runner_new(g, "i-7f3a91c0", "a", "r1");
	runner_new(g, "i-7f3a91c1", "a", "r2");
	if (!rig_start(g, 2))
		return 2;
	if (!rig_submit(g, HOST, "/scan/", id, KEY_A,
			"{\"Spec\":\"run_ms=4000 gpu=1\",\"Steps\":[{\"Count\":"
			"1,\"Cpu\":1000,\"MemMb\":1024,\"Gpu\":1,"
			"\"EstimateMs\":4000},{\"Count\":1,\"Cpu\":1000,"
			"\"MemMb\":1024,\"Gpu\":1,\"EstimateMs\":4000,"
			"\"After\":[0]}]}"))
		return 2;
	rig_wait(g, 1500);
	if (!rig_running(g, "3c0e7a21d94b3601.0.0.0"))
		return 2;
	if (g->has_trouble)
		rig_configure(g, CONFIG("7", ROUTE("read", "0"), "8", "8"));
	else
		rig_configure(g,
			      CONFIG("7",
				     ROUTE("scan", "1") "," ROUTE("read", "0"),
				     "8", "8"));
	end_ms = rig_now(g);
	while (rig_now(g) < end_ms + REMOVED_WATCH_MS) {
		stretch_add(&idle, g,
			    rig_now(g) >= end_ms + FINISH_MS &&
				    !rig_running(g, "3c0e7a21d94b3601.") &&
				    !rig_starts(g, "3c0e7a21d94b3601.0.1.0") &&
				    fitting(g, 1) >= 2 && is_under_half(g));
		rig_wait(g, TICK_MS);
	}
	g_free(job_state(g, 0, "/scan/3c0e7a21d94b3601", KEY_A));
	rig_log(g,
		"judge: %u starts of the second step; it waited for "
		"%" G_GINT64_FORMAT
		" ms on end beside free capacity (allowed: under 3000)",
		rig_starts(g, "3c0e7a21d94b3601.0.1.0"), idle.longest_ms);
	return idle.longest_ms >= 3000;
}

/*
 * other-kind: a runner crashes and starts again under its id and at its address
 * as another kind, while jobs arrive that require its former kind.
 */
#define KIND_WATCH_MS 12000
/* The lag of entries in the site file. */
#define KIND_REGISTER_MS 800

/* Starts that were ordered before the restart could be known don't count. */
#define KIND_UNKNOWN_MS 300

static int run_other_kind(struct rig *g)
{
	struct runner *w;
	int64_t begin_ms;
	int64_t restart_ms = 0;
	guint bad = 0;
	guint n = 0;

	rig_configure(g, CONFIG("3", ROUTE("read", "0"), "8", "8"));
	w = runner_new(g, "i-7f3a91c0", "a", "r1");
	runner_new(g, "i-7f3a91c1", "b", "r2");
	if (!rig_start(g, 2))
		return 2;
	begin_ms = rig_now(g);
	while (rig_now(g) < begin_ms + KIND_WATCH_MS) {
		char *id = g_strdup_printf("4c0e7a21d94b36%02x", n);

		if (n++ == 30 && g->has_trouble) {
			runner_crash(w);
			rig_wait(g, 600);
			runner_restart(w, "b", KIND_REGISTER_MS);
			restart_ms = rig_now(g);
		}
		rig_submit(g, HOST, "/read/", id, KEY_A,
			   "{\"Spec\":\"run_ms=200 gpu=1\",\"Steps\":[{"
			   "\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"Gpu\":1,"
			   "\"EstimateMs\":200,\"Requirements\":\"a\"}]}");
		g_free(id);
		rig_wait(g, 100);
	}
	for (guint i = 0; i < g->events->len; i++) {
		const struct run_event *e =
			&g_array_index(g->events, struct run_event, i);

		bad += e->is_start && !g_str_equal(e->label, "a") &&
		       e->at_ms > restart_ms + KIND_UNKNOWN_MS;
	}
	rig_log(g,
		"judge: %u starts on runners without the label, over %d ms "
		"after the restart",
		bad, KIND_UNKNOWN_MS);
	return bad > 0;
}

/*
 * lasting: a runner with a work unit that lasts crashes.
 */
#define LASTING_WATCH_MS 25000

static int run_lasting(struct rig *g)
{
	const char *id = "6c0e7a21d94b3601";
	struct stretch idle = { -1, 0 };
	int64_t crash_ms;
	guint busy;

	rig_configure(g, CONFIG("3", ROUTE("desk", "1"), "8", "8"));
	for (guint i = 0; i < 4; i++) {
		char *name = g_strdup_printf("i-7f3a91c%u", i);

		runner_new(g, name, "a", "r1");
		g_free(name);
	}
	if (!rig_start(g, 2))
		return 2;
	if (!rig_submit(g, HOST, "/desk/", id, KEY_A,
			"{\"Spec\":\"lasts gpu=1\",\"Steps\":[{\"Count\":1,"
			"\"Cpu\":1000,\"MemMb\":1024,\"Gpu\":1,\"EstimateMs\":"
			"60000,\"LongRunning\":true}]}"))
		return 2;
	rig_wait(g, 6000);
	for (busy = 0; busy < g->runners->len; busy++) {
		if (runner_running(g->runners->pdata[busy]))
			break;
	}
	if (busy == g->runners->len)
		return 2;
	if (g->has_trouble)
		runner_crash(g->runners->pdata[busy]);
	crash_ms = rig_now(g);
	while (rig_now(g) < crash_ms + LASTING_WATCH_MS) {
		/* From 6 s after its last run; the 4 s before are calm. */
		stretch_add(&idle, g,
			    rig_now(g) >= crash_ms + 6000 &&
				    !rig_running(g, "6c0e7a21d94b3601."));
		rig_wait(g, 10);
	}
	rig_log(g,
		"judge: from 6 s after its last run on, nothing ran for "
		"%" G_GINT64_FORMAT " ms (allowed: under 3000)",
		idle.longest_ms);
	return idle.longest_ms >= 3000;
}

/*
 * two-services: urgent jobs queue up for one service, while another service has
 * no work but one ordinary job.
 */
#define OTHER_SERVICE "proofdesk"
#define URGENT_JOBS 8
#define SERVICES_WATCH_MS 45000

static int run_two_services(struct rig *g)
{
	const char *body = "{\"Spec\":\"run_ms=90000 gpu=8\",\"Steps\":[{"
			   "\"Count\":1,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":8,"
			   "\"EstimateMs\":90000}]}";
	const char *id = "7c0e7a21d94b3601";
	struct stretch idle = { -1, 0 };
	guint jobs = g->has_trouble ? URGENT_JOBS : 1;
	int64_t end_ms;

	rig_configure(
		g,
		"{\"Version\":3,\"Routes\":[" ROUTE(
			"read",
			"0") ","
			     "{\"Name\":\"proof\",\"Host\":\"" HOST
			     "\",\"PathPrefix\":\"/proof/"
			     "\",\"Service\":\"" OTHER_SERVICE
			     "\",\"Priority\":1,\"MaxAttempts\":4,\"Stretch\":"
			     "2,"
			     "\"TargetLatencyMs\":1000,\"TimeoutMs\":10000}],"
			     "\"Services\":[{\"Name\":\"" SERVICE
			     "\"},{\"Name\":\"" OTHER_SERVICE
			     "\"}],\"Tenants\":[{\"Name\":\"press-a\","
			     "\"ApiKeys\":[\"" KEY_A
			     "\"],\"Guaranteed\":{\"Gpu\":8}}]}");
	for (guint i = 0; i < 2; i++) {
		char *name = g_strdup_printf("i-7f3a91c%u", i);
		char *other = g_strdup_printf("i-7f3a91d%u", i);

		runner_new(g, name, "a", "r1");
		runner_new_of(g, OTHER_SERVICE, other, "a", "r2");
		g_free(name);
		g_free(other);
	}
	if (!rig_start(g, 2))
		return 2;
	for (guint i = 0; i < jobs; i++) {
		char *urgent = g_strdup_printf("0c0e7a21d94b36%02x", i);
		gboolean is_accepted =
			rig_submit(g, HOST, "/read/", urgent, KEY_A, body);

		g_free(urgent);
		if (!is_accepted)
			return 2;
	}
	rig_wait(g, 2000);
	if (!rig_submit(g, HOST, "/proof/", id, KEY_A,
			"{\"Spec\":\"run_ms=3000 gpu=1\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"Gpu\":1,"
			"\"EstimateMs\":3000}]}"))
		return 2;
	end_ms = rig_now(g);
	while (rig_now(g) < end_ms + SERVICES_WATCH_MS) {
		/* The other service has two idle runners all the while. */
		stretch_add(&idle, g,
			    rig_now(g) >= end_ms + FINISH_MS &&
				    !rig_starts(g, "7c0e7a21d94b3601."));
		rig_wait(g, TICK_MS);
	}
	g_free(job_state(g, 0, "/proof/7c0e7a21d94b3601", KEY_A));
	rig_log(g,
		"judge: %u starts of the job for " OTHER_SERVICE
		"; it waited for %" G_GINT64_FORMAT
		" ms on end beside two idle runners (allowed: under 3000)",
		rig_starts(g, "7c0e7a21d94b3601."), idle.longest_ms);
	return idle.longest_ms >= 3000;
}

/*
 * late-start: a runner leaves the start of a work unit unanswered, which is
 * carried out 7 s later. Meanwhile the start was sent again and the unit ran,
 * but the runner crashed and started again under its id.
 */
#define LATE_START_MS 7000
#define DOWN_MS 600
#define LATE_START_WATCH_MS 14000

static gboolean run_twice(const struct rig *g, const char *task)
{
	gint running = 0;

	for (guint i = 0; i < g->events->len; i++) {
		const struct run_event *e =
			&g_array_index(g->events, struct run_event, i);

		if (!g_str_equal(e->task, task))
			continue;
		running += e->is_start ? 1 : -1;
		if (running > 1)
			return TRUE;
	}
	return FALSE;
}

static int run_late_start(struct rig *g)
{
	const char *task = "8c0e7a21d94b3602.0.0.0";
	struct runner *second;
	int64_t accepted_ms;
	gboolean is_twice;

	rig_configure(g, CONFIG("3", ROUTE("scan", "1"), "8", "8"));
	runner_new(g, "i-7f3a91c0", "a", "r1");
	second = runner_new(g, "i-7f3a91c1", "a", "r1");
	if (!rig_start(g, 2))
		return 2;
	/* Fills the first runner for a while, so that the unit below starts on
	 * the second one, and later finds room on the first one. */
	if (!rig_submit(g, HOST, "/scan/", "8c0e7a21d94b3601", KEY_A,
			"{\"Spec\":\"run_ms=4000 gpu=8\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":8,"
			"\"EstimateMs\":4000}]}"))
		return 2;
	rig_wait(g, 1000);
	if (!rig_running(g, "8c0e7a21d94b3601.") || runner_running(second))
		return 2;
	if (g->has_trouble)
		runner_lose_start(second, LATE_START_MS);
	if (!rig_submit(g, HOST, "/scan/", "8c0e7a21d94b3602", KEY_A,
			"{\"Spec\":\"run_ms=20000 gpu=5\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":5,"
			"\"EstimateMs\":20000}]}"))
		return 2;
	accepted_ms = rig_now(g);
	rig_wait(g, 4500);
	if (!rig_running(g, task) || !runner_running(second))
		return 2;
	if (g->has_trouble) {
		runner_crash(second);
		rig_wait(g, DOWN_MS);
		runner_restart(second, "a", 0);
	}
	rig_wait(g, accepted_ms + LATE_START_WATCH_MS - rig_now(g));
	is_twice = run_twice(g, task);
	rig_log(g, "judge: two runs of %s at the same time: %s", task,
		is_twice ? "yes" : "no");
	return is_twice;
}

/*
 * near-rack: the rack of a job's data is full of long work, all other racks are
 * idle.
 */
#define NEAR_WATCH_MS 45000

static int run_near_rack(struct rig *g)
{
	const char *body = "{\"Spec\":\"run_ms=90000 gpu=8\",\"Steps\":[{"
			   "\"Count\":2,\"Cpu\":8000,\"MemMb\":1024,\"Gpu\":8,"
			   "\"EstimateMs\":90000,\"Affinity\":\"r1\"}]}";
	struct stretch idle = { -1, 0 };
	int64_t end_ms;

	rig_configure(g, CONFIG("3", ROUTE("scan", "1"), "8", "8"));
	for (guint i = 0; i < 6; i++) {
		char *name = g_strdup_printf("i-7f3a91c%u", i);
		char *rack = g_strdup_printf("r%u", 1 + i / 2);

		runner_new(g, name, "a", rack);
		g_free(name);
		g_free(rack);
	}
	if (!rig_start(g, 2))
		return 2;
	if (g->has_trouble &&
	    !rig_submit(g, HOST, "/scan/", "9c0e7a21d94b3601", KEY_A, body))
		return 2;
	rig_wait(g, 2000);
	if (!rig_submit(g, HOST, "/scan/", "9c0e7a21d94b3602", KEY_A,
			"{\"Spec\":\"run_ms=60000 gpu=1\",\"Steps\":[{"
			"\"Count\":1,\"Cpu\":1000,\"MemMb\":1024,\"Gpu\":1,"
			"\"EstimateMs\":60000,\"Affinity\":\"r1\"}]}"))
		return 2;
	end_ms = rig_now(g);
	while (rig_now(g) < end_ms + NEAR_WATCH_MS) {
		stretch_add(&idle, g,
			    rig_now(g) >= end_ms + FINISH_MS &&
				    !rig_running(g, "9c0e7a21d94b3602.") &&
				    fitting(g, 1) >= 2 && is_under_half(g));
		rig_wait(g, TICK_MS);
	}
	rig_log(g,
		"judge: %u starts of the job; it waited for %" G_GINT64_FORMAT
		" ms on end beside free capacity (allowed: under 3000)",
		rig_starts(g, "9c0e7a21d94b3602."), idle.longest_ms);
	return idle.longest_ms >= 3000;
}

int run_chaos(struct rig *g);
const struct review_case review_cases[] = {
	{ "chaos", run_chaos },
	{ "long-work", run_long_work },
	{ "late-counts", run_late_counts },
	{ "borrowed", run_borrowed },
	{ "removed-route", run_removed_route },
	{ "other-kind", run_other_kind },
	{ "lasting", run_lasting },
	{ "near-rack", run_near_rack },
	{ "late-start", run_late_start },
	{ "two-services", run_two_services },
	{ 0 },
};
