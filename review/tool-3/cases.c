/*
 * Plays one case: cases NAME RECORD. Exits with 1 if the rule was broken, 0 if
 * it held, 2 if the case couldn't run. With TROUBLE=0 in the environment the
 * disruption is left out.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "base/util.h"
#include "review/tool-3/site.h"

#define LIMIT_MS 115000
#define PREFIX "/lohu930/"
#define SECOND_PREFIX "/pawe118/"

enum verdict {
	HELD = 0,
	BROKEN = 1,
	NOT_RUN = 2,
};

#define QUEUE(name, prefix, priority, attempts)                              \
	"{\"Name\":\"" name "\",\"Host\":\"nony24.example\",\"PathPrefix\":" \
	"\"" prefix "\",\"Service\":\"dele69a\",\"Priority\":" priority      \
	",\"MaxAttempts\":" attempts ",\"Stretch\":3,"                       \
	"\"TargetLatencyMs\":1000}"
#define SECOND_TENANT                                                         \
	"{\"Name\":\"editors\",\"ApiKeys\":[\"k2\"],\"Guaranteed\":{\"Gpu\":" \
	"8}}"
#define CONFIG(version, queues)                                               \
	"{\"Version\":" version ",\"Routes\":[" queues "],\"Services\":[{"    \
	"\"Name\":\"dele69a\",\"HealthPath\":\"/healthz\"}],\"Tenants\":[{"   \
	"\"Name\":\"press\",\"ApiKeys\":[\"k1\"],\"Guaranteed\":{\"Gpu\":8}}" \
	"," SECOND_TENANT                                                     \
	"],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":262144,"     \
	"\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":60000}}"
#define FIRST_QUEUE QUEUE("drawers", PREFIX, "1", "2")
#define SECOND_QUEUE QUEUE("quotes", SECOND_PREFIX, "1", "2")
#define BOTH_QUEUES FIRST_QUEUE "," SECOND_QUEUE

static gboolean has_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

static gboolean begin(struct site *s, guint entries)
{
	site_configure(s, CONFIG("3", BOTH_QUEUES));
	for (guint i = 0; i < entries; i++)
		site_add_entry(s);
	return site_wait_ready(s);
}

static gboolean is_completed(struct site *s, guint entry, const char *path)
{
	char *state = site_state(s, entry, path);
	gboolean is_done = g_str_equal(state, "completed");

	g_free(state);
	return is_done;
}

/*
 * Plays the site and returns the longest time in which a job had nothing
 * running; it ends early when the job has completed.
 */
static int64_t longest_gap_ms(struct site *s, const char *job,
			      const char *prefix, int64_t for_ms)
{
	int64_t end_ms = site_now_ms(s) + for_ms;
	int64_t since_ms = site_now_ms(s);
	int64_t asked_ms = 0;
	int64_t longest_ms = 0;
	char *path = g_strconcat(prefix, job, NULL);

	while (site_now_ms(s) < end_ms) {
		int64_t now_ms = site_now_ms(s);

		if (site_running(s, job))
			since_ms = now_ms;
		longest_ms = MAX(longest_ms, now_ms - since_ms);
		if (now_ms - asked_ms >= 2000) {
			asked_ms = now_ms;
			if (is_completed(s, 0, path))
				break;
		}
		site_run(s, 20);
	}
	g_free(path);
	return longest_ms;
}

/* LOST, judged from finish_s after the end of the traffic. */
static enum verdict judge_lost(struct site *s, const char *job,
			       const char *prefix, int64_t for_ms)
{
	int64_t gap_ms;
	char *path = g_strconcat(prefix, job, NULL);

	site_note(s, "end of the traffic");
	site_run(s, SITE_FINISH_MS);
	site_note(s, "finish_s after the end of the traffic");
	gap_ms = longest_gap_ms(s, job, prefix, for_ms);
	site_note(s,
		  "job %s: %u runs have begun; longest time with nothing "
		  "running: %" G_GINT64_FORMAT " ms; completed: %d",
		  job, site_starts(s, job), gap_ms, is_completed(s, 0, path));
	g_free(path);
	return gap_ms >= 3000 ? BROKEN : HELD;
}

/* ---- one request fills the memory of each process that reads it ---- */

#define ODD_NAME_BYTES 20000
#define ODD_ELEMENTS 20000
#define CLIENT_ATTEMPTS 5 /* one and four retries, as in the site files */
#define CLIENT_REQUESTS 3

static json_object *memory_body(void)
{
	json_object *body =
		json_tokener_parse("{\"Spec\":\"work_ms=500\",\"Steps\":[{"
				   "\"Count\":1,\"Cpu\":1000,"
				   "\"MemMb\":100,\"EstimateMs\":500}]}");
	json_object *list = json_object_new_array();
	char *name = g_strnfill(ODD_NAME_BYTES, 'n');

	for (guint i = 0; i < ODD_ELEMENTS; i++)
		json_object_array_add(list, json_object_new_int(0));
	if (has_trouble())
		json_object_object_add(body, name, list);
	else
		json_object_put(list);
	g_free(name);
	return body;
}

static void send_with_retries(struct site *s, guint number, json_object *body)
{
	char *path = g_strdup_printf(PREFIX "5c0e7a21d94b36f%u", number);

	for (guint i = 0; i < CLIENT_ATTEMPTS; i++) {
		struct answer a = site_call(s, (number + i) % s->entry_count,
					    "POST", path, body);

		g_free(a.text);
		if (a.code && a.code != 502 && a.code != 504 && a.code != 503)
			break;
		site_run(s, 1000);
	}
	g_free(path);
}

static enum verdict play_memory(struct site *s)
{
	json_object *body = memory_body();
	guint vms = 0;

	site_add_runner(s, "a", "r0");
	site_add_runner(s, "a", "r0");
	if (!begin(s, 3))
		return NOT_RUN;
	site_note(s, "each request has %zu bytes; MaxBodyBytes is 262144",
		  strlen(json_object_to_json_string_ext(
			  body, JSON_C_TO_STRING_PLAIN)));
	for (guint i = 0; i < CLIENT_REQUESTS; i++)
		send_with_retries(s, i, body);
	site_run(s, 2000);
	for (guint i = 0; i < s->entry_count; i++) {
		const struct entry_vm *e = &s->entries[i];

		site_note(s,
			  "edge-%u: highest VmRSS seen %" G_GINT64_FORMAT
			  " MB, %u ends of its process",
			  i + 1, e->peak_kb / 1024, e->ends);
		vms += e->ends >= 3;
	}
	json_object_put(body);
	return vms >= 2 ? BROKEN : HELD;
}

/* ---- a refused job that is cancelled and submitted again ---- */

static enum verdict play_withdrawn(struct site *s)
{
	const char *job = PREFIX "5c0e7a21d94b36f8";
	const char *body = "{\"Spec\":\"work_ms=500\",\"Steps\":[{\"Count\":2,"
			   "\"Cpu\":1000,\"MemMb\":100,\"EstimateMs\":500}]}";
	enum verdict verdict = HELD;
	struct answer a;
	guint code;
	char *state;

	site_add_runner(s, "a", "r0");
	site_add_runner(s, "a", "r0");
	if (!begin(s, 2))
		return NOT_RUN;
	if (has_trouble()) {
		site_note(s, "the platform's store answers 503");
		s->is_store_busy = TRUE;
	}
	code = site_submit(s, 0, job, body);
	site_run(s, 2000);
	if (has_trouble())
		site_note(s, "the platform's store serves again");
	s->is_store_busy = FALSE;
	site_run(s, 4000);
	if (code == 429 || code == 503) {
		/* Not accepted. The client withdraws it and is told that there
		 * is no such job; then it submits the job after all. */
		a = site_call(s, 0, "DELETE", job, NULL);
		g_free(a.text);
		if (a.code != 410)
			return NOT_RUN;
		site_run(s, 3000);
		code = site_submit(s, 1, job, body);
	}
	if (code != 200)
		return NOT_RUN;
	site_run(s, 5000);
	state = site_state(s, 0, job);
	site_note(s,
		  "accepted, not cancelled since; shown as %s; %u runs have "
		  "begun",
		  state, site_starts(s, "5c0e7a21d94b36f8"));
	if (g_str_equal(state, "cancelled"))
		verdict = BROKEN;
	g_free(state);
	return verdict;
}

/* ---- units that last and fail again and again ---- */

static enum verdict play_loop(struct site *s)
{
	const char *job = "a1b2c3d4e5f60718";
	GString *body = g_string_new("{\"Spec\":\"work_ms=400\",\"Steps\":[");
	guint code;

	for (guint i = 0; i < 20; i++) {
		g_string_append(body, i ? "," : "");
		g_string_append(body, "{\"Count\":1,\"Cpu\":1000,\"MemMb\":100,"
				      "\"Gpu\":1,\"EstimateMs\":400");
		if (i)
			g_string_append_printf(body, ",\"After\":[%u]", i - 1);
		g_string_append(body, "}");
	}
	g_string_append(body, "]}");
	for (guint i = 0; i < 4; i++)
		site_add_runner(s, "a", i < 2 ? "r0" : "r1");
	if (!begin(s, 2))
		return NOT_RUN;
	s->key = "k2";
	code = site_submit(s, 0, SECOND_PREFIX "5c0e7a21d94b36f8",
			   has_trouble()
				   ? "{\"Spec\":\"lasting fails work_ms=300\","
				     "\"Steps\":[{\"Count\":8,\"Cpu\":1000,"
				     "\"MemMb\":100,\"Gpu\":1,\"LongRunning\":"
				     "true}]}"
				   : "{\"Spec\":\"lasting\",\"Steps\":[{"
				     "\"Count\":8,\"Cpu\":1000,\"MemMb\":100,"
				     "\"Gpu\":1,\"LongRunning\":true}]}");
	if (code != 200)
		return NOT_RUN;
	s->key = "k1";
	site_run(s, 3000);
	code = site_submit(s, 1, PREFIX "a1b2c3d4e5f60718", body->str);
	g_string_free(body, TRUE);
	if (code != 200)
		return NOT_RUN;
	return judge_lost(s, job, PREFIX, 40000);
}

/* ---- a queue that is removed and added again ---- */

static gboolean has_second_run(struct site *s, void *data)
{
	return site_starts(s, data) >= 2;
}

static enum verdict play_attempts(struct site *s)
{
	char job[] = "5c0e7a21d94b36f8";
	enum verdict verdict = HELD;
	guint failed = 0;
	guint code;

	for (guint i = 0; i < 4; i++)
		site_add_runner(s, "a", "r0");
	if (!begin(s, 2))
		return NOT_RUN;
	code = site_submit(s, 0, PREFIX "5c0e7a21d94b36f8",
			   "{\"Spec\":\"fails work_ms=2500\",\"Steps\":[{"
			   "\"Count\":1,\"Cpu\":4000,\"MemMb\":1000,\"Gpu\":1,"
			   "\"EstimateMs\":2500}]}");
	if (code != 200 || !site_wait(s, has_second_run, job, 20000))
		return NOT_RUN;
	site_run(s, 500);
	if (has_trouble())
		site_configure(s, CONFIG("8", SECOND_QUEUE));
	site_run(s, 6000);
	if (has_trouble())
		site_configure(s, CONFIG("11", BOTH_QUEUES));
	site_run(s, 12000);
	for (guint i = 0; i < s->starts->len; i++) {
		const struct start *st = s->starts->pdata[i];

		if (failed >= 2) {
			site_note(s,
				  "%s run %" G_GINT64_FORMAT " was started "
				  "after %u runs had failed; MaxAttempts is 2",
				  st->task, st->number, failed);
			verdict = BROKEN;
		}
		failed += st->is_end_acked && g_strcmp0(st->how, "failed") == 0;
	}
	return verdict;
}

/* ---- a cancel while the holder's channels to the store are silent ---- */

#define CANCEL_MS 3000

#define GIVE_UP_MS 8000

/* Returns the VM that has acquired the pool's lease last, by the logs. */
static guint find_holder(const struct site *s)
{
	guint holder = 0;
	int64_t most = 0;

	for (guint i = 0; i < s->entry_count; i++) {
		char *text = NULL;
		const char *at;

		g_file_get_contents(s->entries[i].log, &text, NULL, NULL);
		at = text ? g_strrstr(text, "event=lease_acquired epoch=")
			  : NULL;
		if (at) {
			int64_t epoch = g_ascii_strtoll(
				strstr(at, "epoch=") + strlen("epoch="), NULL,
				10);

			if (epoch > most) {
				most = epoch;
				holder = i;
			}
		}
		g_free(text);
	}
	return holder;
}

static gboolean is_running(struct site *s, void *data)
{
	return site_running(s, data) > 0;
}

static gboolean is_not_running(struct site *s, void *data)
{
	return !site_running(s, data);
}

static enum verdict play_silent(struct site *s)
{
	char job[] = "5c0e7a21d94b36f8";
	const char *path = PREFIX "5c0e7a21d94b36f8";
	int64_t limit_ms = CANCEL_MS + SITE_STOP_MS;
	int64_t acked_ms;
	struct answer a;
	guint holder;
	guint code;

	site_add_runner(s, "a", "r0");
	site_add_runner(s, "a", "r0");
	site_start_relay(s);
	if (!begin(s, 2))
		return NOT_RUN;
	site_run(s, 5000);
	holder = find_holder(s);
	site_note(s, "edge-%u holds the pool", holder + 1);
	code = site_submit(
		s, 1 - holder, path,
		"{\"Spec\":\"work_ms=60000\",\"Steps\":[{\"Count\":1,"
		"\"Cpu\":1000,\"MemMb\":100,\"Gpu\":1,"
		"\"EstimateMs\":60000}]}");
	if (code != 200 || !site_wait(s, is_running, job, 5000))
		return NOT_RUN;
	site_run(s, 2000);
	site_burst(s, holder, path, 40);
	site_run(s, 2000);
	if (has_trouble())
		site_silence(s, holder);
	a = site_call(s, 1 - holder, "DELETE", path, NULL);
	g_free(a.text);
	if (a.code != 200)
		return NOT_RUN;
	acked_ms = site_now_ms(s);
	if (has_trouble())
		site_silence(s, 1 - holder);
	site_wait(s, is_not_running, job, GIVE_UP_MS);
	site_note(s,
		  "the work unit was gone %" G_GINT64_FORMAT
		  " ms after the cancelling was acknowledged; allowed: "
		  "%" G_GINT64_FORMAT,
		  site_now_ms(s) - acked_ms, limit_ms);
	return site_now_ms(s) - acked_ms > limit_ms ? BROKEN : HELD;
}

static const struct {
	const char *name;
	enum verdict (*play)(struct site *s);
} cases[] = {
	{ "memory", play_memory },	 { "loop", play_loop },
	{ "withdrawn", play_withdrawn }, { "attempts", play_attempts },
	{ "silent", play_silent },
};

int main(int argc, char **argv)
{
	enum verdict verdict = NOT_RUN;
	struct site *s;

	signal(SIGPIPE, SIG_IGN);
	if (argc != 3)
		return NOT_RUN;
	s = site_new(argv[2], LIMIT_MS);
	site_note(s, "case %s, %s the disruption", argv[1],
		  has_trouble() ? "with" : "without");
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		if (g_str_equal(cases[i].name, argv[1]))
			verdict = cases[i].play(s);
	}
	site_note(s, verdict == BROKEN ? "the rule was broken"
		     : verdict == HELD ? "the rule held"
				       : "the case couldn't run");
	site_free(s);
	return verdict;
}
