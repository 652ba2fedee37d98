/*
 * Not a case: a search for faults. Random jobs of all shapes (gangs, steps,
 * labels, repeated and lasting ones) run beside random disruptions for 70 s;
 * the rules on runs are checked all the while, and after 35 s of calm each
 * accepted job is asked for. Each finding is a line PROBLEM in the record.
 *
 * CHAOS holds the digits of the disruptions to draw (all by default): 0 kill, 1
 * freeze, 2 SIGTERM and 7 SIGHUP of an entry VM, 3 late writes, 4 a runner
 * crashes and starts again under its id, 5 a runner is cut off, 6 late orders,
 * 8 a runner drains and leaves, 9 the store is down. GAP is the longest pause
 * between two of them in ms.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "base/http_client.h"
#include "base/json_member.h"
#include "base/json_text.h"
#include "base/util.h"
#include "review/tool-2/rig.h"

#define HOST "nony24.example"
#define RUNNERS 8
#define CHAOS_MS 70000
#define CALM_MS 35000
#define MAX_JOBS 400

struct job {
	char id[17];
	const char *prefix;
	char *spec;
	char *label;
	guint max_per;
	guint steps;
	guint counts[3];
	gboolean chain; /* each step after the one before */
	gboolean lasting;
	gboolean timed;
	gboolean gang;
	int64_t first_ms, interval_ms; /* wall clock */
	guint times;
	int64_t accepted_ms;
	int64_t rejected_tries, tries;
	int64_t cancel_at_ms;
	int64_t cancelled_ms; /* ack */
	gboolean cancel_sent;
};

static struct job jobs[MAX_JOBS];
static guint job_count;
static int problems;

#define PROBLEM(g, ...)                             \
	do {                                        \
		problems++;                         \
		rig_log(g, "PROBLEM " __VA_ARGS__); \
	} while (0)

struct post {
	struct rig *rig;
	struct job *job;
	char *body;
	gboolean is_delete;
	guint tries;
};

static void try_post(struct post *p);

static gboolean on_again(gpointer d)
{
	try_post(d);
	return G_SOURCE_REMOVE;
}

static void on_post(const struct http_reply *reply, void *data)
{
	struct post *p = data;
	guint code = reply->status == STATUS_OK ? reply->code : 0;

	if (p->is_delete) {
		rig_log(p->rig, "client: DELETE %s -> %u", p->job->id, code);
		if (code == 200 || code == 410) {
			if (!p->job->cancelled_ms)
				p->job->cancelled_ms = rig_now(p->rig);
			goto out;
		}
	} else {
		rig_log(p->rig, "client: POST %s try %u -> %u", p->job->id,
			p->tries, code);
		p->job->tries++;
		if (code == 200) {
			if (!p->job->accepted_ms)
				p->job->accepted_ms = rig_now(p->rig);
			/* sometimes arrives again */
			if (g_random_int_range(0, 10))
				goto out;
		} else if (code == 503 || code == 429) {
			p->job->rejected_tries++;
		}
	}
	if (p->tries < 5) {
		g_timeout_add(300 + (guint)g_random_int_range(0, 700), on_again,
			      p);
		return;
	}
out:
	g_free(p->body);
	g_free(p);
}

static void try_post(struct post *p)
{
	char *path = g_strconcat(p->job->prefix, p->job->id, NULL);
	const char *const headers[] = {
		"Host", HOST, "Authorization", "Token ka", "Deadline-Ms",
		"3000", NULL
	};
	json_object *json =
		p->body ? json_text_parse_value(p->body, strlen(p->body))
			: NULL;
	struct http_call_spec spec = {
		.method = p->is_delete ? "DELETE" : "POST",
		.address =
			p->rig->entries[g_random_int_range(
						0, (gint)p->rig->entry_count)]
				.frontend,
		.path = path,
		.body = json,
		.timeout_ms = 3000,
		.headers = headers,
		.on_reply = on_post,
		.data = p,
	};
	p->tries++;
	http_client_send(p->rig->client, &spec);
	json_object_put(json);
	g_free(path);
}

static void new_job(struct rig *g)
{
	struct job *j = &jobs[job_count];
	struct post *p;
	GString *b = g_string_new(NULL);
	int kind = g_random_int_range(0, 8);
	int gpu = 1 << g_random_int_range(0, 3);
	int run_ms = g_random_int_range(50, 1500);

	if (job_count >= MAX_JOBS)
		return;
	g_snprintf(j->id, sizeof(j->id), "%08x%08x", g_random_int(), job_count);
	j->prefix = g_random_int_range(0, 3) ? "/scan/" : "/read/";
	j->steps = 1;
	j->counts[0] = (guint)g_random_int_range(1, 5);
	if (kind == 0) {
		j->lasting = TRUE;
		gpu = 1;
		j->cancel_at_ms = rig_now(g) + g_random_int_range(4000, 25000);
	}
	if (kind == 1) {
		j->timed = TRUE;
		gpu = 1;
		j->times = 4;
		j->interval_ms = 1500;
		j->first_ms = util_wall_ms() + 1000;
		run_ms = g_random_int_range(100, 3000);
		j->counts[0] = 1;
	}
	if (kind == 2 || kind == 3) {
		j->gang = TRUE;
		j->counts[0] = (guint)g_random_int_range(2, 6);
		if (gpu > 4)
			gpu = 4;
	}
	if (kind == 4) {
		j->steps = 3;
		j->chain = TRUE;
		for (int i = 0; i < 3; i++)
			j->counts[i] = (guint)g_random_int_range(1, 4);
	}
	if (kind == 5) {
		j->max_per = 1;
	}
	if (kind == 6) {
		j->label = g_strdup(g_random_int_range(0, 2) ? "a" : "b");
	}
	if (kind != 0 && !g_random_int_range(0, 6))
		j->cancel_at_ms = rig_now(g) + g_random_int_range(200, 5000);
	if (kind == 0)
		run_ms = g_random_int_range(2000, 8000);
	j->spec =
		g_strdup_printf("run_ms=%d gpu=%d fail=%d%s x%08x", run_ms, gpu,
				j->lasting		   ? 50
				: g_random_int_range(0, 4) ? 0
							   : 20,
				j->lasting ? " lasts" : "", g_random_int());
	if (j->gang) {
		char *t = j->spec;
		j->spec = g_strdup_printf("%s gang=%u", t, j->counts[0]);
		g_free(t);
	}
	g_string_append_printf(b, "{\"Spec\":\"%s\",\"Steps\":[", j->spec);
	for (guint i = 0; i < j->steps; i++) {
		g_string_append_printf(b,
				       "%s{\"Count\":%u,\"Cpu\":100,\"MemMb\":"
				       "10,\"Gpu\":%d,\"EstimateMs\":%d",
				       i ? "," : "", j->counts[i], gpu, run_ms);
		if (j->chain && i)
			g_string_append_printf(b, ",\"After\":[%u]", i - 1);
		if (j->lasting)
			g_string_append(b, ",\"LongRunning\":true");
		if (j->gang)
			g_string_append(b, ",\"Gang\":true");
		if (j->max_per)
			g_string_append_printf(b, ",\"MaxPerServer\":%u",
					       j->max_per);
		if (j->label)
			g_string_append_printf(b, ",\"Requirements\":\"%s\"",
					       j->label);
		g_string_append(b, "}");
	}
	g_string_append(b, "]");
	if (j->timed)
		g_string_append_printf(
			b,
			",\"RepeatCount\":%u,\"FirstMs\":%" G_GINT64_FORMAT
			",\"IntervalMs\":%" G_GINT64_FORMAT,
			j->times, j->first_ms, j->interval_ms);
	g_string_append(b, "}");
	rig_log(g, "client: new job %s %s", j->id, b->str);
	p = g_new0(struct post, 1);
	p->rig = g;
	p->job = j;
	p->body = g_string_free(b, FALSE);
	job_count++;
	try_post(p);
}

static struct job *find_job(const char *task)
{
	for (guint i = 0; i < job_count; i++)
		if (strncmp(jobs[i].id, task, 16) == 0)
			return &jobs[i];
	return NULL;
}

static guint judged;
static GHashTable *running; /* task -> runner */
static GHashTable *done_tasks;
static GHashTable *done_by_step; /* "id.k.step" -> count */

static char *step_name(const char *task)
{
	return g_strndup(task, (gsize)(strrchr(task, '.') - task));
}

static void judge_events(struct rig *g)
{
	for (; judged < g->events->len; judged++) {
		struct run_event *e =
			&g_array_index(g->events, struct run_event, judged);
		struct job *j = find_job(e->task);
		char *step = step_name(e->task);
		guint k = (guint)atoi(strchr(e->task, '.') + 1);
		guint n = (guint)atoi(strrchr(step, '.') + 1);

		if (!j) {
			PROBLEM(g, "UNASKED %s", e->task);
			g_free(step);
			continue;
		}
		if (!e->is_start) {
			g_hash_table_remove(running, e->task);
			if (g_str_equal(e->how, "done") && !j->lasting &&
			    g_hash_table_add(done_tasks, g_strdup(e->task)))
				g_hash_table_replace(
					done_by_step, g_strdup(step),
					GUINT_TO_POINTER(
						GPOINTER_TO_UINT(
							g_hash_table_lookup(
								done_by_step,
								step)) +
						1));
			if (g_str_equal(e->how, "alone"))
				rig_log(g, "NOTE alone %s", e->task);
			g_free(step);
			continue;
		}
		if (g_hash_table_contains(running, e->task))
			PROBLEM(g, "TWICE two runs of %s: on %s and %s%s",
				e->task,
				(char *)g_hash_table_lookup(running, e->task),
				e->runner, e->is_late ? " (late order)" : "");
		g_hash_table_replace(running, g_strdup(e->task),
				     g_strdup(e->runner));
		if (g_hash_table_contains(g->done, e->task) && !j->lasting)
			PROBLEM(g, "TWICE start after done taken note of: %s%s",
				e->task, e->is_late ? " (late order)" : "");
		if (e->gpu_used > RUNNER_GPU)
			PROBLEM(g, "LIMIT %s uses %d%s", e->runner,
				(int)e->gpu_used, e->is_late ? " (late)" : "");
		if (strcmp(e->spec, j->spec))
			PROBLEM(g, "UNASKED spec of %s", e->task);
		if (j->label && strcmp(j->label, e->label))
			PROBLEM(g, "ROUTE label of %s on %s%s", e->task,
				e->runner, e->is_late ? " (late)" : "");
		if (j->cancelled_ms && !e->is_late &&
		    e->at_ms > j->cancelled_ms + CANCEL_MS)
			PROBLEM(g, "UNASKED start after cancel %s", e->task);
		if (!j->accepted_ms && j->tries == 5 && j->rejected_tries == 5)
			PROBLEM(g, "REFUSED %s starts", e->task);
		if (j->chain && n) {
			char *before =
				g_strdup_printf("%s.%u.%u", j->id, k, n - 1);
			if (GPOINTER_TO_UINT(g_hash_table_lookup(
				    done_by_step, before)) < j->counts[n - 1])
				PROBLEM(g, "ORDER %s before %s is done",
					e->task, before);
			g_free(before);
		}
		if (j->timed &&
		    util_wall_ms() + 250 < j->first_ms + k * j->interval_ms)
			PROBLEM(g, "ORDER early %s", e->task);
		if (j->max_per) {
			GHashTableIter it;
			gpointer t, r;
			guint there = 0;
			g_hash_table_iter_init(&it, running);
			while (g_hash_table_iter_next(&it, &t, &r))
				there += g_str_has_prefix(t, step) &&
					 g_str_equal(r, e->runner);
			if (there > j->max_per)
				PROBLEM(g, "ROUTE %u of %s on %s%s", there,
					step, e->runner,
					e->is_late ? " (late)" : "");
		}
		g_free(step);
	}
}

struct vm {
	int64_t restart_ms, cont_ms;
	gboolean is_stopped, is_term;
};
static struct vm vms[MAX_ENTRIES];
static int64_t cut_until[RUNNERS], up_at[RUNNERS], late_until[RUNNERS],
	store_until;

static int64_t some_late(struct rig *g, json_object *body)
{
	if (g_random_double() >= 0.35)
		return 0;
	return g_random_int_range(1000, 6001);
}

static int64_t drain_at[RUNNERS], join_at[RUNNERS], down_until;
static void tick_faults(struct rig *g)
{
	int64_t now = rig_now(g);

	for (guint i = 0; i < g->entry_count; i++) {
		int status;
		if (g->entries[i].pid > 0 &&
		    waitpid(g->entries[i].pid, &status, WNOHANG) ==
			    g->entries[i].pid) {
			if (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)
				PROBLEM(g, "CRASH of %s: signal %d",
					g->entries[i].name, WTERMSIG(status));
			else if (WIFEXITED(status) &&
				 (!vms[i].is_term || WEXITSTATUS(status)))
				PROBLEM(g, "EXIT of %s: %d", g->entries[i].name,
					WEXITSTATUS(status));
			g->entries[i].pid = 0;
			vms[i] = (struct vm){
				.restart_ms =
					now + g_random_int_range(200, 2500)
			};
		}
		if (!g->entries[i].pid && vms[i].restart_ms &&
		    now >= vms[i].restart_ms) {
			vms[i] = (struct vm){ 0 };
			rig_spawn(g, i);
		}
		if (vms[i].is_stopped && now >= vms[i].cont_ms) {
			vms[i].is_stopped = FALSE;
			kill(g->entries[i].pid, SIGCONT);
			rig_log(g, "entry VM %s continues", g->entries[i].name);
		}
	}
	for (guint i = 0; i < RUNNERS; i++) {
		struct runner *w = g->runners->pdata[i];
		if (cut_until[i] && now >= cut_until[i]) {
			cut_until[i] = 0;
			runner_set_cut(w, FALSE);
		}
		if (up_at[i] && now >= up_at[i]) {
			up_at[i] = 0;
			runner_restart(w, i % 2 ? "b" : "a",
				       g_random_int_range(0, 300));
		}
		if (late_until[i] && now >= late_until[i]) {
			late_until[i] = 0;
			runner_set_late(w, 0);
		}
	}
	for (guint i = 0; i < RUNNERS; i++) {
		if (drain_at[i] && now >= drain_at[i]) {
			drain_at[i] = 0;
			runner_leave(g->runners->pdata[i]);
			join_at[i] = now + 1000;
			up_at[i] = 0;
			cut_until[i] = 0;
		}
		if (join_at[i] && now >= join_at[i]) {
			join_at[i] = 0;
			runner_join(g->runners->pdata[i], i % 2 ? "b" : "a");
		}
	}
	if (down_until && now >= down_until) {
		down_until = 0;
		store_set_down(g->store, 0);
	}
	if (store_until && now >= store_until) {
		store_until = 0;
		store_set_late(g->store, NULL);
		rig_log(g, "store is well");
	}
}

static void new_fault(struct rig *g)
{
	int64_t now = rig_now(g);
	guint i = (guint)g_random_int_range(0, (gint)g->entry_count);
	guint r = (guint)g_random_int_range(0, RUNNERS);
	const char *only = g_getenv("CHAOS");
	int kind = g_random_int_range(0, 10);

	if (only && !strchr(only, '0' + kind))
		return;
	switch (kind) {
	case 8:
		if (!up_at[r] && !cut_until[r] && !drain_at[r]) {
			runner_drain(g->runners->pdata[r]);
			drain_at[r] = now + 2600;
		}
		break;
	case 9:
		if (!down_until) {
			down_until = now + g_random_int_range(500, 4500);
			store_set_down(g->store, g_random_int_range(1, 4));
		}
		break;
	case 0:
		if (g->entries[i].pid > 0 && !vms[i].is_stopped) {
			rig_log(g, "kill %s", g->entries[i].name);
			kill(g->entries[i].pid, SIGKILL);
		}
		break;
	case 1:
		if (g->entries[i].pid > 0 && !vms[i].is_stopped &&
		    !vms[i].is_term) {
			rig_log(g, "stop %s", g->entries[i].name);
			kill(g->entries[i].pid, SIGSTOP);
			vms[i].is_stopped = TRUE;
			vms[i].cont_ms = now + g_random_int_range(500, 5000);
		}
		break;
	case 2:
		if (g->entries[i].pid > 0 && !vms[i].is_stopped &&
		    !vms[i].is_term) {
			rig_log(g, "term %s", g->entries[i].name);
			kill(g->entries[i].pid, SIGTERM);
			vms[i].is_term = TRUE;
		}
		break;
	case 3:
		if (!store_until) {
			store_until = now + g_random_int_range(1000, 4500);
			store_set_late(g->store, some_late);
			rig_log(g, "store loses answers");
		}
		break;
	case 4:
		if (!up_at[r] && !cut_until[r] && !drain_at[r] && !join_at[r]) {
			runner_crash(g->runners->pdata[r]);
			up_at[r] = now + g_random_int_range(100, 3000);
		}
		break;
	case 5:
		if (!up_at[r] && !cut_until[r] && !drain_at[r] && !join_at[r]) {
			runner_set_cut(g->runners->pdata[r], TRUE);
			cut_until[r] = now + g_random_int_range(300, 9000);
		}
		break;
	case 6:
		if (!up_at[r] && !join_at[r]) {
			runner_set_late(g->runners->pdata[r], 0.3);
			late_until[r] = now + 4000;
		}
		break;
	case 7:
		if (g->entries[i].pid > 0)
			kill(g->entries[i].pid, SIGHUP);
		break;
	}
}

int run_chaos(struct rig *g)
{
	int64_t begin;
	int64_t next_fault = 3000, next_job = 0;

	running =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	done_tasks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	done_by_step =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rig_configure(
		g,
		"{\"Version\":3,\"Routes\":[{\"Name\":\"scan\",\"Host\":\"" HOST
		"\",\"PathPrefix\":\"/scan/\",\"Service\":\"" SERVICE
		"\",\"Priority\":1,\"MaxAttempts\":4,\"Stretch\":2,"
		"\"TargetLatencyMs\":1000,\"TimeoutMs\":10000},{\"Name\":"
		"\"read\",\"Host\":\"" HOST
		"\",\"PathPrefix\":\"/read/\",\"Service\":\"" SERVICE
		"\",\"Priority\":0,\"MaxAttempts\":4,\"Stretch\":2,"
		"\"TargetLatencyMs\":1000,\"TimeoutMs\":10000}],\"Services\":[{"
		"\"Name\":\"" SERVICE
		"\"}],\"Tenants\":[{\"Name\":\"press-a\",\"ApiKeys\":[\"ka\"],"
		"\"Guaranteed\":{\"Gpu\":16}}]}");
	for (guint i = 0; i < RUNNERS; i++) {
		char *id = g_strdup_printf("i-%u", i),
		     *rack = g_strdup_printf("r%u", i / 2);
		runner_new(g, id, i % 2 ? "b" : "a", rack);
		g_free(id);
		g_free(rack);
	}
	if (!rig_start(g, 3))
		return 2;
	begin = rig_now(g);
	while (rig_now(g) < begin + CHAOS_MS + CALM_MS) {
		int64_t t = rig_now(g) - begin;

		if (t < CHAOS_MS && t >= next_job) {
			new_job(g);
			next_job = t + g_random_int_range(100, 700);
		}
		if (t < CHAOS_MS && t >= next_fault) {
			new_fault(g);
			next_fault =
				t + g_random_int_range(
					    200, g_getenv("GAP")
							 ? atoi(g_getenv("GAP"))
							 : 2500);
		}
		for (guint i = 0; i < job_count; i++) {
			struct job *j = &jobs[i];
			if (j->cancel_at_ms && j->accepted_ms &&
			    rig_now(g) >= j->cancel_at_ms && !j->cancel_sent) {
				struct post *p = g_new0(struct post, 1);
				p->rig = g;
				p->job = j;
				p->is_delete = TRUE;
				j->cancel_sent = TRUE;
				try_post(p);
			}
		}
		tick_faults(g);
		judge_events(g);
		rig_wait(g, 20);
	}
	judge_events(g);
	for (guint i = 0; i < job_count; i++) {
		struct job *j = &jobs[i];
		char *path = g_strconcat(j->prefix, j->id, NULL), *text = NULL,
		     *state = NULL;
		json_object *b;
		guint code;
		guint units = 0, done = 0;

		if (!j->accepted_ms) {
			g_free(path);
			continue;
		}
		code = rig_call(g, i % 3, "GET", HOST, path, "ka", NULL, &text);
		if (code != 200) {
			PROBLEM(g, "LOST %s: GET gives %u", j->id, code);
			continue;
		}
		rig_wait(g, 5);
		judge_events(g);
		b = json_text_parse_value(text, strlen(text));
		state = g_strdup(json_member_text(b, "State"));
		for (guint k = 0; k < MAX(j->times, 1); k++)
			for (guint s = 0; s < j->steps; s++)
				for (guint u = 0; u < j->counts[s]; u++) {
					char *t = g_strdup_printf(
						"%s.%u.%u.%u", j->id, k, s, u);
					units++;
					done += g_hash_table_contains(
						done_tasks, t);
					g_free(t);
				}
		if (g_strcmp0(state, "completed") == 0 &&
		    (done < units || j->lasting))
			PROBLEM(g, "MIXED %s completed with %u of %u done",
				j->id, done, units);
		if (g_strcmp0(state, "cancelled") == 0 && !j->cancel_sent)
			PROBLEM(g, "LOST %s cancelled without cause", j->id);
		if ((!j->lasting || j->cancelled_ms) &&
		    (g_strcmp0(state, "active") == 0 ||
		     g_strcmp0(state, "queued") == 0)) {
			char *t = g_strconcat(j->id, ".", NULL);
			PROBLEM(g,
				"LOST %s still %s: %u of %u done, running %d, "
				"starts %u, lasting %d cancel %d",
				j->id, state, done, units,
				(int)rig_running(g, t), rig_starts(g, t),
				j->lasting, (int)j->cancelled_ms);
			g_free(t);
		}
		if (g_strcmp0(state, "failed") == 0 &&
		    strstr(j->spec, "fail=0"))
			PROBLEM(g, "LOST %s failed without cause", j->id);
	}
	rig_log(g, "chaos: %u jobs, %d problems", job_count, problems);
	return problems > 0;
}
