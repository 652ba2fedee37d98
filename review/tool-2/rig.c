/*
 * Starts and ends the deployment of a case, and sends the clients' calls.
 *
 *     rig CASE FOLDER
 *
 * runs a case and writes FOLDER/record.txt. Exits with 1 if the rule was
 * broken, 0 if it held, 2 if the case could not run.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/http_client.h"
#include "base/json_text.h"
#include "base/util.h"
#include "review/tool-2/rig.h"

#define PROGRAM "target/bin/csentryd"
#define READY_MS 20000
#define CALL_MS 3000
#define CLIENT_TRIES 5 /* the first and 4 retries */
#define RETRY_MS 500

int64_t rig_now(const struct rig *g)
{
	return util_monotonic_ms() - g->begin_ms;
}

void rig_log(struct rig *g, const char *format, ...)
{
	int64_t now_ms = rig_now(g);
	va_list args;

	fprintf(g->record, "%7.3f ", (double)now_ms / 1000);
	va_start(args, format);
	vfprintf(g->record, format, args);
	va_end(args);
	fputc('\n', g->record);
	fflush(g->record);
}

static gboolean on_waited(gpointer data)
{
	*(gboolean *)data = TRUE;
	return G_SOURCE_REMOVE;
}

void rig_wait(struct rig *g, int64_t ms)
{
	gboolean is_over = FALSE;

	g_timeout_add((guint)ms, on_waited, &is_over);
	while (!is_over)
		g_main_context_iteration(NULL, TRUE);
}

void rig_configure(struct rig *g, const char *text)
{
	store_put(g->store, "op", "config", text);
	rig_log(g, "operator: desired state %s", text);
}

#define FIRST_PORT 8000
#define LOWEST_PORT 12000 /* of random ports, below those of clients */
#define HIGHEST_PORT 30000
#define PORT_TRIES 1000

static gboolean is_free(const char *host, guint port)
{
	struct sockaddr_in a = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	gboolean is_bound;

	is_bound = fd >= 0 && inet_pton(AF_INET, host, &a.sin_addr) == 1 &&
		   bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
	if (fd >= 0)
		close(fd);
	return is_bound;
}

/* Returns a loopback address whose port is free. Its IP address is of this
 * process alone where the machine has more than 127.0.0.1, so that no other
 * process takes the port meanwhile. */
static char *free_address(void)
{
	static guint used;
	guint pid = (guint)getpid();
	char *host = g_strdup_printf("127.%u.%u.%u", 16 + (pid >> 14) % 200,
				     (pid >> 7) % 128, 1 + pid % 128);
	guint port = FIRST_PORT + used++;
	char *address;

	if (!is_free(host, port)) {
		g_free(host);
		host = g_strdup("127.0.0.1");
		for (guint i = 0; i < PORT_TRIES && !is_free(host, port); i++)
			port = (guint)g_random_int_range(LOWEST_PORT,
							 HIGHEST_PORT);
	}
	address = g_strdup_printf("%s:%u", host, port);
	g_free(host);
	return address;
}

/* Writes the settings as deploy/entry-settings.json.template maps them. */
static void write_settings(struct rig *g, struct entry *e)
{
	char *internal = free_address();
	char *forward = free_address();
	char *store = store_address(g->store);
	char *text;

	e->frontend = free_address();
	e->readiness = free_address();
	text = g_strdup_printf(
		"{\"node\":\"%s\",\"failure_domain\":\"lagos-ikeja\","
		"\"frontend\":\"%s\",\"readiness\":\"%s\",\"internal\":\"%s\","
		"\"forward\":\"%s\",\"cpu_share\":0.25,\"store\":{"
		"\"address\":\"%s\",\"writes_per_s\":600,\"reads_per_s\":2000,"
		"\"row_bytes\":65536},\"bounds\":{\"lease_ms\":%d,"
		"\"grace_s\":%d,\"status_s\":120}}",
		e->name, e->frontend, e->readiness, internal, forward, store,
		HOLD_MAX_MS, GRACE_S);
	e->settings = g_strdup_printf("%s/%s.json", g->dir, e->name);
	g_file_set_contents(e->settings, text, -1, NULL);
	g_free(text);
	g_free(internal);
	g_free(forward);
	g_free(store);
}

static void spawn(struct rig *g, struct entry *e)
{
	char *log = g_strdup_printf("%s/%s.log", g->dir, e->name);
	char *argv[] = { PROGRAM, NULL };

	e->pid = fork();
	if (e->pid == 0) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		g_setenv("CORIANDERSTEP_SETTINGS", e->settings, TRUE);
		execv(argv[0], argv);
		_exit(127);
	}
	rig_log(g, "entry VM %s started: " PROGRAM, e->name);
	g_free(log);
}

void rig_spawn(struct rig *g, guint entry)
{
	spawn(g, &g->entries[entry]);
}

struct waiting_call {
	gboolean is_over;
	guint code;
	char *text;
};

static void on_reply(const struct http_reply *reply, void *data)
{
	struct waiting_call *w = data;

	w->is_over = TRUE;
	w->code = reply->status == STATUS_OK ? reply->code : 0;
	w->text = g_strdup(reply->text ? reply->text : "");
}

static guint call(struct rig *g, const struct http_call_spec *base, char **text)
{
	struct waiting_call w = { 0 };
	struct http_call_spec spec = *base;

	spec.on_reply = on_reply;
	spec.data = &w;
	http_client_send(g->client, &spec);
	while (!w.is_over)
		g_main_context_iteration(NULL, TRUE);
	if (text)
		*text = w.text;
	else
		g_free(w.text);
	return w.code;
}

guint rig_call(struct rig *g, guint entry, const char *method, const char *host,
	       const char *path, const char *key, const char *body, char **text)
{
	char *token = g_strdup_printf("Token %s", key);
	const char *const headers[] = { "Host", host,	       "Authorization",
					token,	"Deadline-Ms", "3000",
					NULL };
	json_object *json =
		body ? json_text_parse_value(body, strlen(body)) : NULL;
	struct http_call_spec spec = {
		.method = method,
		.address = g->entries[entry].frontend,
		.path = path,
		.body = json,
		.timeout_ms = CALL_MS,
		.headers = headers,
	};
	int64_t began_ms = rig_now(g);
	char *answer = NULL;
	guint code = call(g, &spec, &answer);

	rig_log(g,
		"client at %s: %s %s %s -> %u %.100s (%" G_GINT64_FORMAT " ms)",
		g->entries[entry].name, method, path, body ? body : "", code,
		g_strchomp(answer), rig_now(g) - began_ms);
	if (text)
		*text = answer;
	else
		g_free(answer);
	json_object_put(json);
	g_free(token);
	return code;
}

/* A submission that doesn't block; answered ones are counted by the caller. */
struct submission {
	struct rig *rig;
	char *host;
	char *prefix;
	char *id;
	char *key;
	char *body;
	guint tries;
	int64_t *accepted_ms;
};

static void try_submission(struct submission *s);

static gboolean on_retry(gpointer data)
{
	try_submission(data);
	return G_SOURCE_REMOVE;
}

static void on_submitted(const struct http_reply *reply, void *data)
{
	struct submission *s = data;
	guint code = reply->status == STATUS_OK ? reply->code : 0;

	rig_log(s->rig, "client: POST %s%s, try %u -> %u", s->prefix, s->id,
		s->tries, code);
	if (code == 200)
		*s->accepted_ms = rig_now(s->rig);
	if (code != 200 && s->tries < CLIENT_TRIES) {
		g_timeout_add(RETRY_MS, on_retry, s);
		return;
	}
	g_free(s->host);
	g_free(s->prefix);
	g_free(s->id);
	g_free(s->key);
	g_free(s->body);
	g_free(s);
}

static void try_submission(struct submission *s)
{
	char *token = g_strdup_printf("Token %s", s->key);
	char *path = g_strconcat(s->prefix, s->id, NULL);
	const char *const headers[] = { "Host", s->host,       "Authorization",
					token,	"Deadline-Ms", "3000",
					NULL };
	json_object *json = json_text_parse_value(s->body, strlen(s->body));
	struct http_call_spec spec = {
		.method = "POST",
		.address = s->rig->entries[s->tries++ % s->rig->entry_count]
				   .frontend,
		.path = path,
		.body = json,
		.timeout_ms = CALL_MS,
		.headers = headers,
		.on_reply = on_submitted,
		.data = s,
	};

	http_client_send(s->rig->client, &spec);
	json_object_put(json);
	g_free(path);
	g_free(token);
}

void rig_submit_later(struct rig *g, const char *host, const char *prefix,
		      const char *id, const char *key, const char *body,
		      int64_t *accepted_ms)
{
	struct submission *s = g_new0(struct submission, 1);

	s->rig = g;
	s->host = g_strdup(host);
	s->prefix = g_strdup(prefix);
	s->id = g_strdup(id);
	s->key = g_strdup(key);
	s->body = g_strdup(body);
	s->accepted_ms = accepted_ms;
	*accepted_ms = -1;
	try_submission(s);
}

gboolean rig_submit(struct rig *g, const char *host, const char *prefix,
		    const char *id, const char *key, const char *body)
{
	char *path = g_strconcat(prefix, id, NULL);
	guint code = 0;

	for (guint i = 0; i < CLIENT_TRIES && code != 200; i++) {
		if (i)
			rig_wait(g, RETRY_MS);
		code = rig_call(g, i % g->entry_count, "POST", host, path, key,
				body, NULL);
	}
	g_free(path);
	return code == 200;
}

static gboolean is_ready(struct rig *g, const struct entry *e)
{
	const struct http_call_spec spec = {
		.method = "GET",
		.address = e->readiness,
		.path = "/corianderstep/readyz",
		.timeout_ms = 1000,
	};

	return call(g, &spec, NULL) == 200;
}

/* Starts an entry VM that didn't get its ports again, with others. */
static void respawn_ended(struct rig *g, struct entry *e)
{
	int status;

	if (waitpid(e->pid, &status, WNOHANG) != e->pid)
		return;
	rig_log(g, "entry VM %s has ended at its start: %d", e->name, status);
	write_settings(g, e);
	spawn(g, e);
}

gboolean rig_start(struct rig *g, guint entries)
{
	g->entry_count = entries;
	for (guint i = 0; i < entries; i++) {
		struct entry *e = &g->entries[i];

		e->name = g_strdup_printf("edge-%u", i + 1);
		write_settings(g, e);
		spawn(g, e);
	}
	for (guint i = 0; i < entries; i++) {
		while (!is_ready(g, &g->entries[i])) {
			if (rig_now(g) > READY_MS)
				return FALSE;
			respawn_ended(g, &g->entries[i]);
			rig_wait(g, 100);
		}
	}
	rig_log(g, "all entry VMs are ready");
	rig_wait(g, 2000);
	return TRUE;
}

static gboolean is_below(const char *task, const char *prefix)
{
	return g_str_has_suffix(prefix, ".") ? g_str_has_prefix(task, prefix)
					     : g_str_equal(task, prefix);
}

guint rig_starts(const struct rig *g, const char *task)
{
	guint n = 0;

	for (guint i = 0; i < g->events->len; i++) {
		const struct run_event *e =
			&g_array_index(g->events, struct run_event, i);

		n += e->is_start && is_below(e->task, task);
	}
	return n;
}

guint rig_running(const struct rig *g, const char *task)
{
	guint n = 0;

	for (guint i = 0; i < g->events->len; i++) {
		const struct run_event *e =
			&g_array_index(g->events, struct run_event, i);

		if (is_below(e->task, task))
			n += e->is_start ? 1u : (guint)-1;
	}
	return n;
}

int64_t rig_gpu_used(const struct rig *g)
{
	int64_t used = 0;

	for (guint i = 0; i < g->runners->len; i++)
		used += runner_gpu_used(g->runners->pdata[i]);
	return used;
}

static void end_entries(struct rig *g)
{
	for (guint i = 0; i < g->entry_count; i++) {
		int status = 0;

		if (g->entries[i].pid <= 0)
			continue;
		if (waitpid(g->entries[i].pid, &status, WNOHANG) ==
		    g->entries[i].pid) {
			rig_log(g, "entry VM %s has ended by itself: %d",
				g->entries[i].name, status);
			continue;
		}
		kill(g->entries[i].pid, SIGKILL);
		waitpid(g->entries[i].pid, &status, 0);
	}
}

/* Removes the temporary files; RIG_KEEP keeps them, for debugging. */
static void remove_files(struct rig *g)
{
	GDir *dir = g_dir_open(g->dir, 0, NULL);
	const char *name;

	if (g_getenv("RIG_KEEP")) {
		fprintf(stderr, "logs: %s\n", g->dir);
		return;
	}
	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(g->dir, name, NULL);

		g_unlink(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(g->dir);
}

int main(int argc, char **argv)
{
	struct rig g = { .begin_ms = util_monotonic_ms() };
	const struct review_case *c = review_cases;
	char *file;
	int code;

	while (argc == 3 && c->name && !g_str_equal(c->name, argv[1]))
		c++;
	if (argc != 3 || !c->name) {
		fprintf(stderr, "usage: rig CASE FOLDER\n");
		return 2;
	}
	file = g_build_filename(argv[2], "record.txt", NULL);
	g.record = fopen(file, "w");
	g.dir = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!g.record || !g.dir || access(PROGRAM, X_OK)) {
		fprintf(stderr, "can't run: %s\n", g_strerror(errno));
		return 2;
	}
	g.has_trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	g.runners = g_ptr_array_new();
	g.events = g_array_new(FALSE, TRUE, sizeof(struct run_event));
	g.done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g.client = http_client_new(1000, 100);
	g.store = store_new(&g);
	rig_log(&g, "case %s, %s the disruption", c->name,
		g.has_trouble ? "with" : "without");
	code = c->run(&g);
	rig_log(&g, "%s",
		code == 0   ? "the rule held"
		: code == 1 ? "the rule was broken"
			    : "the case could not run");
	end_entries(&g);
	remove_files(&g);
	fclose(g.record);
	printf("%s: exit %d\n", c->name, code);
	return code;
}
