#include "tests/cluster.h"

#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>

#include "base/util.h"

#define MAX_CONNECTIONS 200
#define POLL_MS 5
/*
 * Below the ephemeral ports, so that no outgoing connection takes a port before
 * the program listens on it.
 */
#define FIRST_PORT 10000
#define LAST_PORT 31999
/* Ports per test program, more than any uses at a time. */
#define PORT_BLOCK 500
#define BURST_CONNECTIONS 500
#define LISTEN_TIMEOUT_MS 20000
#define EXIT_TIMEOUT_MS 10000
/* Timeout of one readiness request; callers repeat it. */
#define READY_CALL_TIMEOUT_MS 1000
/* Time beyond a call's own timeout in which the client must end it. */
#define CALL_SLACK_MS 30000
#define DEFAULT_DRAIN_TIMEOUT_MS 3000
#define DEFAULT_PLATFORM_TIMEOUT_MS 500
#define DEFAULT_BUILD "build"

static const char *const sanitizer_reports[] = { "ERROR: AddressSanitizer",
						 "runtime error" };

static void process_free(gpointer data)
{
	struct cluster_process *p = data;

	g_object_unref(p->subprocess);
	g_free(p->log_path);
	g_free(p);
}

struct cluster *cluster_new(void)
{
	struct cluster *c = g_new0(struct cluster, 1);

	c->dir = g_dir_make_tmp("cs-test-XXXXXX", NULL);
	c->client = http_client_new(MAX_CONNECTIONS, MAX_CONNECTIONS);
	c->processes = g_ptr_array_new_with_free_func(process_free);
	return c;
}

static void end_process(struct cluster_process *p)
{
	if (!cluster_is_running(p))
		return;
	cluster_signal(p, SIGCONT);
	cluster_signal(p, SIGTERM);
	if (cluster_wait_exit(p, EXIT_TIMEOUT_MS) != -1)
		return;
	cluster_signal(p, SIGKILL);
	g_assert_cmpint(cluster_wait_exit(p, EXIT_TIMEOUT_MS), !=, -1);
}

static void remove_dir(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *file = g_build_filename(path, name, NULL);

		g_remove(file);
		g_free(file);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

void cluster_free(struct cluster *c)
{
	for (guint i = 0; i < c->processes->len; i++)
		end_process(c->processes->pdata[i]);
	for (guint i = 0; i < c->processes->len; i++) {
		for (guint j = 0; j < G_N_ELEMENTS(sanitizer_reports); j++)
			g_assert_cmpuint(
				cluster_count_lines(c->processes->pdata[i],
						    sanitizer_reports[j]),
				==, 0);
	}
	g_ptr_array_unref(c->processes);
	http_client_free(c->client);
	if (!c->keeps_logs)
		remove_dir(c->dir);
	g_free(c->dir);
	g_free(c);
}

/* Returns a listener on the port, NULL if the port is in use. */
static GSocketListener *listen_on(guint16 port)
{
	GSocketListener *listener = g_socket_listener_new();
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);

	if (!g_socket_listener_add_address(
		    listener, address, G_SOCKET_TYPE_STREAM,
		    G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL))
		g_clear_object(&listener);
	g_object_unref(address);
	return listener;
}

static gboolean is_port_free(guint16 port)
{
	GSocketListener *listener = listen_on(port);

	if (!listener)
		return FALSE;
	g_socket_listener_close(listener);
	g_object_unref(listener);
	return TRUE;
}

/*
 * Returns the first port of a block and reserves the block by listening on that
 * port until the test program exits. Without it, a test program that runs at
 * the same time could take the port of a node that is being restarted.
 */
static guint16 reserve_port_block(void)
{
	static GSocketListener *reservation;
	guint blocks = (LAST_PORT + 1 - FIRST_PORT) / PORT_BLOCK;
	guint at = g_random_int_range(0, (gint32)blocks);
	guint16 first = 0;

	for (guint i = 0; i < blocks && !reservation; i++) {
		first = (guint16)(FIRST_PORT + (at + i) % blocks * PORT_BLOCK);
		reservation = listen_on(first);
	}
	g_assert_nonnull(reservation);
	return first;
}

/* Ports repeat only after the whole block was used. */
char *cluster_reserve_address(void)
{
	static guint16 block;
	static guint used_ports;
	guint16 port;

	if (!block)
		block = reserve_port_block();
	do {
		port = (guint16)(block + 1 + used_ports++ % (PORT_BLOCK - 1));
	} while (!is_port_free(port));
	return g_strdup_printf("127.0.0.1:%u", port);
}

static guint max_descriptors; /* of processes started from now on, or 0 */

void cluster_limit_descriptors(guint max)
{
	max_descriptors = max;
}

/* Runs in the child process, which must not outlive an aborted test. */
static void on_child_setup(gpointer data)
{
	const struct rlimit limit = { max_descriptors, max_descriptors };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (max_descriptors)
		setrlimit(RLIMIT_NOFILE, &limit);
}

static struct cluster_process *spawn(struct cluster *c, const char *log_name,
				     GPtrArray *args)
{
	struct cluster_process *p = g_new0(struct cluster_process, 1);
	char *file_name = g_strconcat(log_name, ".log", NULL);
	GSubprocessLauncher *launcher;
	GError *error = NULL;

	p->log_path = g_build_filename(c->dir, file_name, NULL);
	launcher = g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_subprocess_launcher_set_stdout_file_path(launcher, p->log_path);
	g_subprocess_launcher_set_child_setup(launcher, on_child_setup, NULL,
					      NULL);
	p->subprocess = g_subprocess_launcher_spawnv(
		launcher, (const char *const *)args->pdata, &error);
	g_assert_no_error(error);
	g_ptr_array_add(c->processes, p);
	g_object_unref(launcher);
	g_free(file_name);
	return p;
}

static char *program_path(const char *program)
{
	const char *build = g_getenv("CS_BUILD");

	return g_build_filename(build ? build : DEFAULT_BUILD, "bin", program,
				NULL);
}

struct cluster_process *cluster_spawn(struct cluster *c, const char *program,
				      const char *log_name,
				      const char *const *args)
{
	GPtrArray *all = g_ptr_array_new_with_free_func(g_free);
	struct cluster_process *p;

	g_ptr_array_add(all, program_path(program));
	for (guint i = 0; args && args[i]; i++)
		g_ptr_array_add(all, g_strdup(args[i]));
	g_ptr_array_add(all, NULL);
	p = spawn(c, log_name, all);
	g_ptr_array_unref(all);
	return p;
}

struct cluster_process *cluster_spawn_node(struct cluster *c,
					   const char *program,
					   const struct cluster_node_spec *node)
{
	char *settings = cluster_write_settings(c, node);
	struct cluster_process *p;

	p = cluster_spawn(c, program, node->node,
			  CLUSTER_ARGS("--settings", settings));
	g_free(settings);
	return p;
}

static void add_string(json_object *json, const char *key, const char *value,
		       const char *fallback)
{
	if (!value)
		value = fallback;
	if (value)
		json_object_object_add(json, key,
				       json_object_new_string(value));
}

static void add_int(json_object *json, const char *key, int64_t value,
		    int64_t fallback)
{
	json_object_object_add(json, key,
			       json_object_new_int64(value ? value : fallback));
}

char *cluster_write_file(struct cluster *c, const char *name, const char *text)
{
	char *file = g_build_filename(c->dir, name, NULL);

	g_assert_true(g_file_set_contents(file, text, -1, NULL));
	return file;
}

struct cluster_process *
cluster_spawn_entry(struct cluster *c, const struct cluster_entry_spec *entry,
		    const char *log_name)
{
	char *forward = entry->forward ? g_strdup_printf("\"forward\":\"%s\",",
							 entry->forward)
				       : g_strdup("");
	char *limits =
		entry->memory_mb
			? g_strdup_printf("\"memory_mb\":%" G_GINT64_FORMAT
					  ",\"descriptors\":%" G_GINT64_FORMAT
					  ",",
					  entry->memory_mb, entry->descriptors)
			: g_strdup("");
	char *text = g_strdup_printf(
		"{\"node\":\"e%u\",\"failure_domain\":\"tov-a\","
		"\"frontend\":\"%s\",\"readiness\":\"%s\",\"internal\":\"%s\","
		"%s%s\"delegate_min_workers\":%u,\"cpu_share\":1.0,"
		"\"store\":{\"address\":\"%s\",\"writes_per_s\":"
		"%" G_GINT64_FORMAT ",\"reads_per_s\":2000},\"bounds\":{"
		"\"lease_ms\":%" G_GINT64_FORMAT
		",\"grace_s\":3,\"status_s\":120}}",
		entry->index, entry->frontend, entry->readiness,
		entry->internal, forward, limits, entry->delegate_min_workers,
		entry->store, entry->writes_per_s, entry->lease_ms);
	char *name = g_strdup_printf("e%u.json", entry->index);
	char *file = cluster_write_file(c, name, text);
	struct cluster_process *p = cluster_spawn(
		c, "csentryd", log_name, CLUSTER_ARGS("--settings", file));

	g_free(file);
	g_free(name);
	g_free(text);
	g_free(limits);
	g_free(forward);
	return p;
}

gboolean cluster_entry_is_ready(struct cluster *c, const char *readiness)
{
	struct cluster_reply r =
		cluster_call(c, "GET", readiness, "/corianderstep/readyz", NULL,
			     NULL, READY_CALL_TIMEOUT_MS);
	gboolean is_ready = r.code == 200;

	cluster_reply_clear(&r);
	return is_ready;
}

char *cluster_write_settings(struct cluster *c,
			     const struct cluster_node_spec *node)
{
	char *file_name = g_strconcat(node->node, ".json", NULL);
	char *path = g_build_filename(c->dir, file_name, NULL);
	json_object *json = json_object_new_object();
	json_object *seeds = json_object_new_array();

	add_string(json, "node", node->node, NULL);
	add_string(json, "vm", node->node, NULL);
	add_string(json, "failure_domain", node->failure_domain, "tov-a");
	add_string(json, "region", node->region, "tov");
	add_string(json, "service", node->service, "salkhi");
	add_string(json, "http", node->http, NULL);
	add_string(json, "link", node->link, NULL);
	add_string(json, "link_public", node->link_public, NULL);
	add_string(json, "platform", node->platform, NULL);
	add_string(json, "operator_token", node->operator_token, NULL);
	add_string(json, "link_secret", node->link_secret, NULL);
	add_int(json, "platform_timeout_ms", node->platform_timeout_ms,
		DEFAULT_PLATFORM_TIMEOUT_MS);
	add_int(json, "drain_timeout_ms", node->drain_timeout_ms,
		DEFAULT_DRAIN_TIMEOUT_MS);
	if (node->impossible_grace_ms)
		add_int(json, "impossible_grace_ms", node->impossible_grace_ms,
			0);
	if (node->memory_mb)
		add_int(json, "memory_mb", node->memory_mb, 0);
	if (node->descriptors)
		add_int(json, "descriptors", node->descriptors, 0);
	for (guint i = 0; node->seeds && node->seeds[i]; i++)
		json_object_array_add(seeds,
				      json_object_new_string(node->seeds[i]));
	json_object_object_add(json, "seeds", seeds);
	g_assert_cmpint(json_object_to_file(path, json), ==, 0);
	json_object_put(json);
	g_free(file_name);
	return path;
}

struct log_search {
	const struct cluster_process *process;
	const char *key;
	guint index;
	char *value;
};

static gboolean find_log_value(void *data)
{
	struct log_search *s = data;
	guint seen = 0;
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(s->process->log_path, &text, NULL, NULL))
		return FALSE;
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i] && lines[i + 1]; i++) {
		if (!g_str_has_prefix(lines[i], s->key) ||
		    lines[i][strlen(s->key)] != ' ')
			continue;
		if (seen++ != s->index)
			continue;
		s->value = g_strdup(lines[i] + strlen(s->key) + 1);
		break;
	}
	g_strfreev(lines);
	g_free(text);
	return s->value != NULL;
}

char *cluster_log_value(struct cluster_process *p, const char *key, guint index)
{
	struct log_search s = { .process = p, .key = key, .index = index };

	g_assert_true(cluster_wait(find_log_value, &s, LISTEN_TIMEOUT_MS));
	return s.value;
}

char *cluster_listen_address(struct cluster_process *p, guint index)
{
	return cluster_log_value(p, "listening", index);
}

void cluster_signal(struct cluster_process *p, int signal_number)
{
	g_subprocess_send_signal(p->subprocess, signal_number);
}

gboolean cluster_is_running(const struct cluster_process *p)
{
	return g_subprocess_get_identifier(p->subprocess) != NULL;
}

static gboolean has_ended(void *data)
{
	return !cluster_is_running(data);
}

int cluster_wait_exit(struct cluster_process *p, int64_t timeout_ms)
{
	if (!cluster_wait(has_ended, p, timeout_ms))
		return -1;
	if (!g_subprocess_get_if_exited(p->subprocess))
		return 128 + g_subprocess_get_term_sig(p->subprocess);
	return g_subprocess_get_exit_status(p->subprocess);
}

struct call_wait {
	struct cluster_reply reply;
	gboolean is_done;
};

static void on_reply(const struct http_reply *reply, void *data)
{
	struct call_wait *w = data;

	w->reply.status = reply->status;
	w->reply.code = reply->code;
	w->reply.body = json_object_get(reply->body);
	w->reply.text = g_strdup(reply->text);
	w->reply.retry_after = g_strdup(reply->header);
	w->is_done = TRUE;
}

static gboolean is_answered(void *data)
{
	const struct call_wait *w = data;

	return w->is_done;
}

struct cluster_reply cluster_call(struct cluster *c, const char *method,
				  const char *address, const char *path,
				  const char *body, const char *const *headers,
				  int64_t timeout_ms)
{
	json_object *json = body ? json_tokener_parse(body) : NULL;
	struct call_wait wait = { 0 };
	struct http_call_spec spec = {
		.method = method,
		.address = address,
		.path = path,
		.body = json,
		.timeout_ms = timeout_ms,
		.headers = headers,
		.wanted_header = "Retry-After",
		.on_reply = on_reply,
		.data = &wait,
	};

	g_assert_true(!body || json);
	http_client_send(c->client, &spec);
	if (!cluster_wait(is_answered, &wait, timeout_ms + CALL_SLACK_MS))
		g_error("%s %s%s: no outcome after the timeout", method,
			address, path);
	json_object_put(json);
	return wait.reply;
}

void cluster_reply_clear(struct cluster_reply *r)
{
	json_object_put(r->body);
	r->body = NULL;
	g_clear_pointer(&r->text, g_free);
	g_clear_pointer(&r->retry_after, g_free);
}

void cluster_control(struct cluster *c, const char *address, const char *body)
{
	struct cluster_reply r =
		cluster_call(c, "POST", address, "/control", body, NULL,
			     CLUSTER_CALL_TIMEOUT_MS);

	g_assert_cmpuint(r.code, ==, 200);
	cluster_reply_clear(&r);
}

static gboolean on_poll(gpointer data)
{
	return G_SOURCE_CONTINUE;
}

gboolean cluster_wait(cluster_condition condition, void *data,
		      int64_t timeout_ms)
{
	int64_t until_ms = util_monotonic_ms() + timeout_ms;
	guint timer = g_timeout_add(POLL_MS, on_poll, NULL);
	gboolean holds = condition(data);

	while (!holds && util_monotonic_ms() < until_ms) {
		g_main_context_iteration(NULL, TRUE);
		holds = condition(data);
	}
	g_source_remove(timer);
	return holds;
}

void cluster_connect_burst(uint16_t port)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", port);
	GSocket *sockets[BURST_CONNECTIONS];

	for (guint i = 0; i < BURST_CONNECTIONS; i++) {
		GError *error = NULL;

		sockets[i] =
			g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
				     G_SOCKET_PROTOCOL_TCP, NULL);
		g_socket_set_timeout(sockets[i], 1);
		g_socket_connect(sockets[i], address, NULL, &error);
		g_assert_no_error(error);
	}
	for (guint i = 0; i < BURST_CONNECTIONS; i++)
		g_object_unref(sockets[i]);
	g_object_unref(address);
}

static gboolean never(void *data)
{
	return FALSE;
}

void cluster_sleep(int64_t time_ms)
{
	cluster_wait(never, NULL, time_ms);
}

guint cluster_count_lines(const struct cluster_process *p, const char *text)
{
	char *log = NULL;
	char **lines;
	guint count = 0;

	if (!g_file_get_contents(p->log_path, &log, NULL, NULL))
		return 0;
	lines = g_strsplit(log, "\n", -1);
	for (guint i = 0; lines[i]; i++)
		count += strstr(lines[i], text) ? 1 : 0;
	g_strfreev(lines);
	g_free(log);
	return count;
}
