/*
 * Tracing a request or a job through the logs: one grep for its id over the
 * logs of all nodes must show each event, in order, of a run with faults. The
 * run has two gateways, two runners (one is killed), three workers and two
 * schedulers (the holder is killed).
 */
#include <glib.h>
#include <signal.h>
#include <string.h>

#include "tests/gang_cluster.h"

#define GATEWAYS 2
#define RUNNERS 2
#define TIMEOUT_MS 20000
#define JOB "wind-rerun-7"
#define VICTIM "gust-map-3"
#define URGENT "lake-rescue-1"
#define KEY_FORMAT "bulletin-%u"
/** Maximum number of requests sent until the killed runner gets one. */
#define MAX_SENDS 20
/** Run time of a job in ms: longer than a change of holder. */
#define RUN_MS "9000"

#define CONFIG                                                      \
	"{\"format\":1,\"services\":[{\"name\":\"salkhi\","         \
	"\"failure_domains\":[\"tov-a\"]}],\"client_accounts\":["   \
	"{\"name\":\"a\",\"service\":\"salkhi\",\"share\":1,"       \
	"\"requests_per_s\":500,\"queued_requests\":200}],\"jobs\"" \
	":[]}"

struct world {
	struct gang_cluster *pool;
	struct cluster *cluster;
	char *gateways[GATEWAYS];
	struct cluster_process *runners[RUNNERS];
	char *runner_names[RUNNERS]; /* names as endpoints of the gateways */
};

/*
 * Expected lines of a log, in order; ends with NULL. Each is a list of words,
 * separated by blanks, that the line must contain. Other lines may stand
 * between two of them.
 */
typedef const char *const *log_pattern;

static const char *const retried[] = {
	"event=accepted client_account=a class=spot config_version=1",
	"event=route choice=r runner_up= reason= attempt=1 config_version=1",
	"event=attempt_failed endpoint=r reason=lost config_version=1",
	"event=route choice=r reason= attempt=2 config_version=1",
	"event=done reason= endpoint=r config_version=1",
	NULL,
};

static const char *const lost[] = {
	"event=accepted client_account=a class=spot config_version=1",
	"event=route choice=r runner_up= reason= attempt=1 config_version=1",
	"event=attempt_failed endpoint=r reason=lost config_version=1",
	"event=unknown reason=lost_answer attempts=1 config_version=1",
	NULL,
};

/* Lines with the idempotency key, over both attempts of the caller. */
static const char *const tried_twice[] = {
	"event=accepted node=g0 caller_attempt=1 request=",
	"event=unknown node=g0 reason=lost_answer request=",
	"event=accepted node=g1 caller_attempt=2 request=",
	"event=unknown node=g1 reason= attempts=0 request=",
	NULL,
};

static const char *const refused[] = {
	"event=\"not_run\" client_account=nobody reason=unknown_account "
	"config_version=1",
	NULL,
};

static const char *const taken_over[] = {
	"event=job_submit node=g0 answer=accepted config_version=1",
	"event=placement choice= runner_up= reason= config_version=1",
	"event=job_state state=committed epoch=1 config_version=1",
	"event=job_state state=running epoch=1",
	"event=recovered gang=running epoch=2 config_version=1",
	"event=job_state state=done epoch=2",
	NULL,
};

static const char *const preempted[] = {
	"event=job_submit answer=accepted",
	"event=placement choice=",
	"event=job_state state=running",
	"event=preempt job=" VICTIM " for=" URGENT " reason= config_version=1",
	"event=job_state state=queued preempted",
	"event=placement choice=",
	NULL,
};

/* Compares only the times: the stable sort keeps the order within a log. */
static gint compare_lines(gconstpointer a, gconstpointer b)
{
	return strncmp(*(const char *const *)a, *(const char *const *)b,
		       strlen("time_ms=1700000000000.000"));
}

/* Returns the lines of all logs that contain a text, ordered by time. */
static GPtrArray *grep(const struct world *w, const char *text)
{
	GPtrArray *found = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < w->cluster->processes->len; i++) {
		const struct cluster_process *p =
			w->cluster->processes->pdata[i];
		char *log = NULL;
		char **lines;

		if (!g_file_get_contents(p->log_path, &log, NULL, NULL))
			continue;
		lines = g_strsplit(log, "\n", -1);
		for (char **l = lines; *l; l++) {
			if (g_str_has_prefix(*l, "time_ms=") &&
			    strstr(*l, text))
				g_ptr_array_add(found, g_strdup(*l));
		}
		g_strfreev(lines);
		g_free(log);
	}
	g_ptr_array_sort(found, compare_lines);
	return found;
}

/*
 * Returns TRUE if a line contains all words. In a quoted word, "_" stands for a
 * blank.
 */
static gboolean contains_words(const char *line, const char *expected)
{
	char **words = g_strsplit(expected, " ", -1);
	gboolean has_all = TRUE;

	for (char **word = words; *word && has_all; word++) {
		if (strchr(*word, '"'))
			g_strdelimit(*word, "_", ' ');
		has_all = strstr(line, *word) != NULL;
	}
	g_strfreev(words);
	return has_all;
}

/* Returns the first expected line that is missing or out of order, or NULL. */
static const char *find_missing_line(const GPtrArray *lines, log_pattern s)
{
	for (guint i = 0; i < lines->len && *s; i++) {
		if (contains_words(lines->pdata[i], *s))
			s++;
	}
	return *s;
}

static void check_log_pattern(const struct world *w, const char *id,
			      log_pattern s)
{
	GPtrArray *lines = grep(w, id);
	const char *missing = find_missing_line(lines, s);

	if (missing) {
		g_test_message("%s: missing or out of order: %s", id, missing);
		for (guint i = 0; i < lines->len; i++)
			g_test_message("%s", (char *)lines->pdata[i]);
		g_test_fail();
	}
	g_ptr_array_unref(lines);
}

struct decision_kind {
	const char *event;
	const char *required_keys;
};

static const struct decision_kind decision_kinds[] = {
	{ " event=route ", "node= request= choice= runner_up= reason= "
			   "config_version=" },
	{ " event=placement ", "node= job= choice= runner_up= reason= "
			       "config_version=" },
};

/* Checks that each logged decision has all required keys. */
static void check_decisions(const struct world *w,
			    const struct decision_kind *k)
{
	GPtrArray *lines = grep(w, k->event);

	g_assert_cmpuint(lines->len, >, 0);
	for (guint i = 0; i < lines->len; i++) {
		if (contains_words(lines->pdata[i], k->required_keys) &&
		    !strstr(lines->pdata[i], "waited_ms=-"))
			continue;
		g_test_message("%s", (char *)lines->pdata[i]);
		g_test_fail();
	}
	g_ptr_array_unref(lines);
}

static struct cluster_reply call(const struct world *w, guint gateway,
				 const char *method, const char *path,
				 const char *body)
{
	return cluster_call(w->cluster, method, w->gateways[gateway], path,
			    body, NULL, TIMEOUT_MS);
}

static gboolean config_is_accepted(void *data)
{
	struct cluster_reply r =
		call(data, 0, "POST", "/v1/config",
		     "{\"base_version\":0,\"config\":" CONFIG "}");
	gboolean is_accepted = r.code == 200 || r.code == 409;

	cluster_reply_clear(&r);
	return is_accepted;
}

#define REQUEST(account, rest)                                        \
	"{\"client_account\":\"" account "\",\"service\":\"salkhi\"," \
	"\"class\":\"spot\",\"deadline_ms\":4000," rest "}"
#define REPEATABLE "\"is_repeatable\":true,"
#define WORK(ms) "\"payload\":{\"work_ms\":" ms "}"

/*
 * Returns TRUE if the gateways and the schedulers have the configuration and
 * the gateways have endpoints.
 */
static gboolean serves(void *data)
{
	struct world *w = data;
	GPtrArray *in_force = grep(w, "event=config_in_force");
	gboolean is_ready = in_force->len >= GATEWAYS + 2;

	g_ptr_array_unref(in_force);
	for (guint i = 0; i < GATEWAYS && is_ready; i++) {
		struct cluster_reply r =
			call(w, i, "POST", "/v1/requests",
			     REQUEST("a", REPEATABLE WORK("1")));

		is_ready = r.code == 200;
		cluster_reply_clear(&r);
	}
	return is_ready;
}

static void start_runners(struct world *w)
{
	for (guint i = 0; i < RUNNERS; i++) {
		char *vm = g_strdup_printf("r%c", 'x' + i);

		w->runners[i] = cluster_spawn(
			w->cluster, "cs-standin-runner", vm,
			CLUSTER_ARGS("--platform", w->pool->platform, "--vm",
				     vm, "--service", "salkhi",
				     "--failure-domain", "tov-a"));
		g_free(cluster_listen_address(w->runners[i], 0));
		w->runner_names[i] = vm;
	}
}

static struct world *world_new(void)
{
	struct world *w = g_new0(struct world, 1);

	w->pool = gang_cluster_open(2);
	w->cluster = w->pool->cluster;
	start_runners(w);
	for (guint i = 0; i < GATEWAYS; i++) {
		char *name = g_strdup_printf("g%u", i);
		char *link = cluster_reserve_address();
		struct cluster_node_spec node = {
			.node = name,
			.link = link,
			.platform = w->pool->platform,
			.seeds = (const char *const *)w->pool->links,
		};

		w->gateways[i] = cluster_reserve_address();
		node.http = w->gateways[i];
		cluster_spawn_node(w->cluster, "csgated", &node);
		g_free(link);
		g_free(name);
	}
	g_assert_true(cluster_wait(config_is_accepted, w, TIMEOUT_MS));
	g_assert_true(cluster_wait(serves, w, TIMEOUT_MS));
	return w;
}

static void world_free(struct world *w)
{
	gang_cluster_close(w->pool);
	for (guint i = 0; i < GATEWAYS; i++)
		g_free(w->gateways[i]);
	for (guint i = 0; i < RUNNERS; i++)
		g_free(w->runner_names[i]);
	g_free(w);
}

struct sent_request {
	const struct world *world;
	guint accepted; /* number of requests accepted before this one */
	gboolean is_done;
	char *id;
	char *answer;
	struct cluster_process *runner; /* runner of the first attempt */
};

static void on_answer(const struct http_reply *reply, void *data)
{
	struct sent_request *s = data;

	s->id = g_strdup(json_object_get_string(
		json_object_object_get(reply->body, "request_id")));
	s->answer = g_strdup(json_object_get_string(
		json_object_object_get(reply->body, "answer")));
	s->is_done = TRUE;
}

/* Returns the value of a key in a line; free it. */
static char *find_value(const char *line, const char *key)
{
	const char *found = strstr(line, key);

	return found ? g_strndup(found + strlen(key),
				 strcspn(found + strlen(key), " "))
		     : NULL;
}

static struct cluster_process *find_runner(const struct world *w,
					   const char *request)
{
	GPtrArray *lines = grep(w, request);
	struct cluster_process *runner = NULL;

	for (guint i = 0; i < lines->len && !runner; i++) {
		char *choice = find_value(lines->pdata[i], " choice=");

		for (guint j = 0; j < RUNNERS; j++) {
			if (g_strcmp0(choice, w->runner_names[j]) == 0)
				runner = w->runners[j];
		}
		g_free(choice);
	}
	g_ptr_array_unref(lines);
	return runner;
}

static gboolean is_routed(void *data)
{
	struct sent_request *s = data;
	GPtrArray *accepted = grep(s->world, " event=accepted ");
	char *id = NULL;

	if (accepted->len > s->accepted)
		id = find_value(accepted->pdata[accepted->len - 1],
				" request=");
	if (id)
		s->runner = find_runner(s->world, id);
	g_free(id);
	g_ptr_array_unref(accepted);
	return s->runner != NULL;
}

static gboolean is_answered(void *data)
{
	return ((struct sent_request *)data)->is_done;
}

/* Sends a request and waits until it is routed to a runner. */
static void send(struct world *w, const char *body, struct sent_request *s)
{
	json_object *json = json_tokener_parse(body);
	GPtrArray *accepted = grep(w, " event=accepted ");
	struct http_call_spec spec = {
		.method = "POST",
		.address = w->gateways[0],
		.path = "/v1/requests",
		.body = json,
		.timeout_ms = TIMEOUT_MS,
		.on_reply = on_answer,
		.data = s,
	};

	memset(s, 0, sizeof(*s));
	s->world = w;
	s->accepted = accepted->len;
	http_client_send(w->cluster->client, &spec);
	json_object_put(json);
	g_ptr_array_unref(accepted);
	g_assert_true(cluster_wait(is_routed, s, TIMEOUT_MS));
}

static void expect_answer(struct sent_request *s, const char *answer,
			  log_pattern log)
{
	g_assert_true(cluster_wait(is_answered, s, TIMEOUT_MS));
	g_assert_cmpstr(s->answer, ==, answer);
	if (log)
		check_log_pattern(s->world, s->id, log);
	g_free(s->id);
	g_free(s->answer);
}

static char *non_repeatable_body(guint key, int attempt)
{
	return g_strdup_printf(REQUEST("a", "\"is_repeatable\":false,"
					    "\"idempotency_key\":\"" KEY_FORMAT
					    "\",\"attempt\":%d," WORK("1500")),
			       key, attempt);
}

/* Sends requests until one is routed to @runner; returns the key's number. */
static guint send_until_routed_to(struct world *w,
				  const struct cluster_process *runner,
				  struct sent_request *sent)
{
	guint key = 0;
	char *body;

	for (;;) {
		body = non_repeatable_body(key, 1);
		send(w, body, &sent[key]);
		g_free(body);
		if (sent[key].runner == runner)
			return key;
		key++;
		g_assert_cmpuint(key, <, MAX_SENDS);
	}
}

/* Retries a request at the other gateway, as its caller would. */
static void retry_at_other_gateway(struct world *w, guint key)
{
	char *body = non_repeatable_body(key, 2);
	char *name = g_strdup_printf("key=" KEY_FORMAT " ", key);
	struct cluster_reply r = call(w, 1, "POST", "/v1/requests", body);

	g_assert_cmpuint(r.code, ==, 504);
	check_log_pattern(w, name, tried_twice);
	cluster_reply_clear(&r);
	g_free(name);
	g_free(body);
}

static void test_requests(void)
{
	struct world *w = world_new();
	struct cluster_reply r;
	struct sent_request repeatable;
	struct sent_request sent[MAX_SENDS];
	guint last;

	r = call(w, 1, "POST", "/v1/requests",
		 REQUEST("nobody", REPEATABLE WORK("1")));
	check_log_pattern(w,
			  json_object_get_string(
				  json_object_object_get(r.body, "request_id")),
			  refused);
	cluster_reply_clear(&r);
	send(w, REQUEST("a", REPEATABLE WORK("1500")), &repeatable);
	last = send_until_routed_to(w, repeatable.runner, sent);
	cluster_signal(repeatable.runner, SIGKILL);
	expect_answer(&repeatable, "done", retried);
	for (guint i = 0; i < last; i++)
		expect_answer(&sent[i], "done", NULL);
	expect_answer(&sent[last], "unknown", lost);
	retry_at_other_gateway(w, last);
	check_decisions(w, &decision_kinds[0]);
	world_free(w);
}

#define SUBMIT(id, account, class, members, accelerators)                 \
	"{\"id\":\"" id "\",\"client_account\":\"" account                \
	"\",\"pool\":\"" GANG_POOL                                        \
	"\",\"class\":\"" class "\",\"run_ms\":" RUN_MS                   \
				",\"is_checkpointable\":true,\"shape\":{" \
				"\"members\":" #members                   \
				",\"accelerators\":" #accelerators        \
				",\"cores\":1,\"memory_mb\":1,"           \
				"\"adjacency\":\"none\"}}"

static void submit(struct world *w, guint gateway, const char *body, guint code)
{
	struct cluster_reply r = call(w, gateway, "POST", "/v1/jobs", body);

	g_assert_cmpuint(r.code, ==, code);
	cluster_reply_clear(&r);
}

static void wait_state(struct world *w, const char *id, const char *state)
{
	g_assert_true(gang_cluster_wait_state(w->pool, id, state, TIMEOUT_MS));
}

static void test_jobs(void)
{
	struct world *w = world_new();
	int holder;

	submit(w, 0, SUBMIT(JOB, "a", "normal", 2, 1), 202);
	wait_state(w, JOB, "running");
	holder = gang_cluster_holder(w->pool);
	g_assert_cmpint(holder, >=, 0);
	cluster_signal(w->pool->schedulers[holder], SIGKILL);
	wait_state(w, JOB, "done");
	check_log_pattern(w, JOB, taken_over);
	submit(w, 1, SUBMIT(VICTIM, "a", "bulk", 3, 8), 202);
	wait_state(w, VICTIM, "running");
	submit(w, 0, SUBMIT(URGENT, "a", "urgent", 1, 8), 202);
	wait_state(w, URGENT, "done");
	wait_state(w, VICTIM, "running");
	check_log_pattern(w, VICTIM, preempted);
	check_decisions(w, &decision_kinds[1]);
	world_free(w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/story/requests", test_requests);
	g_test_add_func("/story/jobs", test_jobs);
	return g_test_run();
}
