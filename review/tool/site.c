#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LONGEST_MS 115000 /* a case ends by itself before 120 s */
#define TX_MS 3
#define MAX_ROWS 20000

char frontends[MAX_ENTRIES_VM][ADDRESS_BYTES];
char readiness[MAX_ENTRIES_VM][ADDRESS_BYTES];
pid_t entries[MAX_ENTRIES_VM];
int refusing_worker = -1;
int second_service_from = MAX_WORKERS;
int spot_priority = 1;
bool (*store_is_late)(json_object *tx);
bool (*store_cuts_after)(json_object *tx);
int store_late_ms;
int store_refused_oversize;

static int entry_count;
static char folder[] = "/tmp/review-XXXXXX";
static bool has_folder;
static FILE *record;
static int64_t began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (ms > 0 && nanosleep(&t, &t) < 0 && errno == EINTR)
		;
}

bool has_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

void note(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	if (!record) {
		record = fopen("record.txt", "w");
		began_ms = now_ms();
	}
	for (int i = 0; record && i < 2; i++) {
		FILE *out = i ? stdout : record;

		fprintf(out, "%8.3f s  ", (double)(now_ms() - began_ms) / 1000);
		va_start(args, format);
		vfprintf(out, format, args);
		va_end(args);
		fputc('\n', out);
		fflush(out);
	}
	pthread_mutex_unlock(&record_lock);
}

static void remove_folder(void)
{
	static const char *const names[] = { "settings", "log" };
	char name[200];

	if (!has_folder)
		return;
	for (int i = 0; i < MAX_ENTRIES_VM; i++) {
		for (int k = 0; k < 2; k++) {
			snprintf(name, sizeof(name), "%s/%s-%d", folder,
				 names[k], i);
			unlink(name);
		}
	}
	rmdir(folder);
}

void finish(int code)
{
	for (int i = 0; i < entry_count; i++) {
		if (entries[i] > 0) {
			kill(entries[i], SIGCONT);
			kill(entries[i], SIGKILL);
			waitpid(entries[i], NULL, 0);
		}
	}
	if (!getenv("KEEP"))
		remove_folder();
	note("exit %d: %s", code,
	     code == 0	 ? "the rule held"
	     : code == 1 ? "the rule was broken"
			 : "the case couldn't run");
	fflush(NULL);
	_exit(code);
}

static void *watch_time(void *data)
{
	(void)data;
	sleep_ms(LONGEST_MS);
	note("the case took too long");
	finish(2);
	return NULL;
}

static void start_thread(void *(*fn)(void *), void *data)
{
	pthread_t t;

	if (pthread_create(&t, NULL, fn, data) != 0)
		finish(2);
	pthread_detach(t);
}

/* ---------------------------------------------------------------- HTTP --- */

struct connection {
	int fd;
	struct server *server;
	struct connection *next;
};

struct request {
	char method[16];
	char path[1024];
	char instance[256]; /* Expect-Instance */
	char *body;
	size_t body_len;
	struct connection *connection;
};

/* Returns the status; a body, if any, is set. -1: never answers. */
typedef int (*handler)(void *data, struct request *r, json_object **out);

struct server {
	int fd;
	handler fn;
	void *data;
	struct connection *connections;
	bool is_cut; /* carries nothing either way */
	char address[ADDRESS_BYTES];
};

static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

static int listen_any(char *address)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    listen(fd, 1024) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) < 0)
		finish(2);
	snprintf(address, ADDRESS_BYTES, "127.0.0.1:%d", ntohs(a.sin_port));
	return fd;
}

static bool read_request(int fd, char **buffer, size_t *have, size_t *room,
			 struct request *r)
{
	char *end;
	size_t head;
	const char *p;

	while (!*have || !(end = memmem(*buffer, *have, "\r\n\r\n", 4))) {
		ssize_t n;

		if (*have + 4096 > *room)
			*buffer = realloc(*buffer, *room += 65536);
		n = read(fd, *buffer + *have, *room - *have - 1);
		if (n <= 0)
			return false;
		*have += (size_t)n;
	}
	head = (size_t)(end - *buffer) + 4;
	end[2] = '\0';
	if (sscanf(*buffer, "%15s %1023s", r->method, r->path) != 2)
		return false;
	p = strcasestr(*buffer, "\r\nContent-Length:");
	r->body_len = p ? strtoul(p + 17, NULL, 10) : 0;
	r->instance[0] = '\0';
	p = strcasestr(*buffer, "\r\nExpect-Instance:");
	if (p)
		sscanf(p + 18, " %255[^\r]", r->instance);
	while (*have < head + r->body_len) {
		ssize_t n;

		if (head + r->body_len + 1 > *room)
			*buffer = realloc(*buffer,
					  *room = head + r->body_len + 65536);
		n = read(fd, *buffer + *have, *room - *have - 1);
		if (n <= 0)
			return false;
		*have += (size_t)n;
	}
	r->body = malloc(r->body_len + 1);
	memcpy(r->body, *buffer + head, r->body_len);
	r->body[r->body_len] = '\0';
	memmove(*buffer, *buffer + head + r->body_len,
		*have - head - r->body_len);
	*have -= head + r->body_len;
	return true;
}

static bool write_all(int fd, const char *text, size_t len)
{
	while (len) {
		ssize_t n = send(fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
		len -= (size_t)n;
	}
	return true;
}

static void wait_forever(struct connection *c)
{
	struct pollfd p = { c->fd, POLLRDHUP, 0 };

	/* Until the peer closes the connection. */
	while (poll(&p, 1, 1000) <= 0 ||
	       !(p.revents & (POLLRDHUP | POLLHUP | POLLERR)))
		;
}

static void *serve_connection(void *data)
{
	struct connection *c = data;
	char *buffer = malloc(65536);
	size_t have = 0, room = 65536;
	struct request r = { .connection = c };

	while (read_request(c->fd, &buffer, &have, &room, &r)) {
		json_object *out = NULL;
		const char *text = "";
		char head[256];
		int code = -1;

		if (!c->server->is_cut)
			code = c->server->fn(c->server->data, &r, &out);
		free(r.body);
		if (code < 0 || c->server->is_cut) {
			json_object_put(out);
			wait_forever(c);
			break;
		}
		if (out)
			text = json_object_to_json_string_ext(
				out, JSON_C_TO_STRING_PLAIN);
		snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 code, strlen(text));
		if (!write_all(c->fd, head, strlen(head)) ||
		    !write_all(c->fd, text, strlen(text))) {
			json_object_put(out);
			break;
		}
		json_object_put(out);
	}
	close(c->fd);
	pthread_mutex_lock(&server_lock);
	for (struct connection **p = &c->server->connections; *p;
	     p = &(*p)->next) {
		if (*p == c) {
			*p = c->next;
			break;
		}
	}
	pthread_mutex_unlock(&server_lock);
	free(buffer);
	free(c);
	return NULL;
}

static void *accept_connections(void *data)
{
	struct server *s = data;
	int one = 1;

	for (;;) {
		struct connection *c;
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->fd = fd;
		c->server = s;
		pthread_mutex_lock(&server_lock);
		c->next = s->connections;
		s->connections = c;
		pthread_mutex_unlock(&server_lock);
		start_thread(serve_connection, c);
	}
	return NULL;
}

static struct server *server_new(handler fn, void *data)
{
	struct server *s = calloc(1, sizeof(*s));

	s->fn = fn;
	s->data = data;
	s->fd = listen_any(s->address);
	start_thread(accept_connections, s);
	return s;
}

struct reply call(const char *address, const char *method, const char *path,
		  const char *key, const char *body, int timeout_ms)
{
	struct reply out = { 0 };
	struct sockaddr_in a = { .sin_family = AF_INET };
	int64_t end_ms = now_ms() + timeout_ms;
	char host[ADDRESS_BYTES];
	char head[2048];
	char *text = NULL;
	size_t len = 0;
	char *colon;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	snprintf(host, sizeof(host), "%s", address);
	colon = strchr(host, ':');
	*colon = '\0';
	inet_pton(AF_INET, host, &a.sin_addr);
	a.sin_port = htons((uint16_t)atoi(colon + 1));
	if (fd < 0 || connect(fd, (struct sockaddr *)&a, sizeof(a)) < 0)
		goto out;
	snprintf(
		head, sizeof(head),
		"%s %s HTTP/1.1\r\nHost: " HOST "\r\n%s%s%s"
		"Deadline-Ms: %d\r\nConnection: close\r\n"
		"Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
		method, path, key ? "Authorization: Token " : "",
		key ? key : "", key ? "\r\n" : "", timeout_ms,
		body ? strlen(body) : 0);
	if (!write_all(fd, head, strlen(head)) ||
	    (body && !write_all(fd, body, strlen(body))))
		goto out;
	for (;;) {
		struct pollfd p = { fd, POLLIN, 0 };
		int64_t left = end_ms - now_ms();
		char *end, *at;
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			goto out;
		text = realloc(text, len + 65536);
		n = read(fd, text + len, 65535);
		if (n < 0)
			goto out;
		len += (size_t)n;
		text[len] = '\0';
		end = strstr(text, "\r\n\r\n");
		at = strcasestr(text, "\r\nContent-Length:");
		if (end && at && at < end &&
		    len >= (size_t)(end + 4 - text) +
				    strtoul(at + 17, NULL, 10)) {
			out.code = atoi(text + 9);
			snprintf(out.body, sizeof(out.body), "%s", end + 4);
			break;
		}
		if (!n)
			break;
	}
out:
	free(text);
	if (fd >= 0)
		close(fd);
	return out;
}

/* --------------------------------------------------------------- store --- */

struct row {
	char *table, *part, *key, *value; /* value NULL: dropped */
	int64_t version;
};

static struct server *store[MAX_ENTRIES_VM]; /* one path for each entry VM */
static struct row *rows[MAX_ROWS];
static int row_count;
static int64_t store_version;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static const char *text_of(json_object *o, const char *name)
{
	json_object *v;

	return json_object_object_get_ex(o, name, &v)
		       ? json_object_get_string(v)
		       : "";
}

static int64_t int_of(json_object *o, const char *name)
{
	json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_int64(v)
						      : 0;
}

static json_object *list_of(json_object *o, const char *name)
{
	json_object *v = NULL;

	json_object_object_get_ex(o, name, &v);
	return json_object_is_type(v, json_type_array) ? v : NULL;
}

static size_t length(json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	for (int i = 0; i < row_count; i++) {
		if (!strcmp(rows[i]->key, key) &&
		    !strcmp(rows[i]->table, table) &&
		    !strcmp(rows[i]->part, part))
			return rows[i];
	}
	return NULL;
}

static void set_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *r = find_row(table, part, key);

	if (!r) {
		if (!value)
			return;
		if (row_count == MAX_ROWS)
			finish(2);
		r = rows[row_count++] = calloc(1, sizeof(*r));
		r->table = strdup(table);
		r->part = strdup(part);
		r->key = strdup(key);
	}
	if (!value && !r->value)
		return;
	free(r->value);
	r->value = value ? strdup(value) : NULL;
	r->version = store_version;
}

static json_object *encode_row(const struct row *r)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "Table", json_object_new_string(r->table));
	json_object_object_add(o, "part", json_object_new_string(r->part));
	json_object_object_add(o, "Key", json_object_new_string(r->key));
	json_object_object_add(o, "Ver", json_object_new_int64(r->version));
	if (r->value)
		json_object_object_add(o, "Value",
				       json_object_new_string(r->value));
	else
		json_object_object_add(o, "Deleted",
				       json_object_new_boolean(1));
	return o;
}

static json_object *answer(json_object *list)
{
	json_object *o = json_object_new_object();

	if (list)
		json_object_object_add(o, "rows", list);
	json_object_object_add(o, "Ver", json_object_new_int64(store_version));
	json_object_object_add(o, "NowMs", json_object_new_int64(now_ms()));
	return o;
}

/* Limits of the pages: 100 entries, 1 MB a call, RowBytes a value. */
static bool is_within_limits(const struct request *r, json_object *tx)
{
	json_object *sets = list_of(tx, "SetKeys");

	if (r->body_len > CALL_BYTES ||
	    length(list_of(tx, "ExpectedRev")) + length(sets) +
			    length(list_of(tx, "Remove")) >
		    100)
		return false;
	for (size_t i = 0; i < length(sets); i++) {
		json_object *s = json_object_array_get_idx(sets, i);

		if (strlen(text_of(s, "Value")) / 4 * 3 > ROW_BYTES + 2)
			return false;
	}
	return true;
}

static int apply_tx(json_object *tx, json_object **out)
{
	json_object *expected = list_of(tx, "ExpectedRev");
	json_object *sets = list_of(tx, "SetKeys");
	json_object *removals = list_of(tx, "Remove");
	json_object *current = json_object_new_array();
	bool holds = true;

	for (size_t i = 0; i < length(expected); i++) {
		json_object *e = json_object_array_get_idx(expected, i);
		struct row *r = find_row(text_of(e, "Table"),
					 text_of(e, "part"), text_of(e, "Key"));
		bool exists = r && r->value;

		if (exists)
			json_object_array_add(current, encode_row(r));
		holds &= (exists ? r->version : 0) == int_of(e, "Ver");
	}
	if (!holds) {
		*out = answer(current);
		return 412;
	}
	json_object_put(current);
	store_version++;
	for (size_t i = 0; i < length(sets); i++) {
		json_object *s = json_object_array_get_idx(sets, i);

		set_row(text_of(s, "Table"), text_of(s, "part"),
			text_of(s, "Key"), text_of(s, "Value"));
	}
	for (size_t i = 0; i < length(removals); i++) {
		json_object *s = json_object_array_get_idx(removals, i);

		set_row(text_of(s, "Table"), text_of(s, "part"),
			text_of(s, "Key"), NULL);
	}
	*out = answer(NULL);
	pthread_cond_broadcast(&store_changed);
	return 200;
}

static void *apply_late(void *data)
{
	json_object *out = NULL;
	int code;

	sleep_ms(store_late_ms);
	pthread_mutex_lock(&store_lock);
	code = apply_tx(data, &out);
	pthread_mutex_unlock(&store_lock);
	note("store: the delayed commit was carried out: %d", code);
	json_object_put(out);
	json_object_put(data);
	return NULL;
}

static int handle_tx(struct server *path, const struct request *r,
		     json_object **out)
{
	json_object *tx = json_tokener_parse(r->body);
	int code;

	if (!tx)
		return 400;
	if (!is_within_limits(r, tx)) {
		json_object_put(tx);
		if (!store_refused_oversize++)
			note("store: a commit of %zu bytes exceeds RowBytes or "
			     "1 MB a call, answered 400",
			     r->body_len);
		return 400;
	}
	if (store_is_late && store_is_late(tx)) {
		note("store: a commit gets no answer and is carried out %d ms "
		     "later: %s",
		     store_late_ms,
		     json_object_to_json_string(list_of(tx, "SetKeys")));
		start_thread(apply_late, tx);
		return -1;
	}
	sleep_ms(TX_MS);
	pthread_mutex_lock(&store_lock);
	code = apply_tx(tx, out);
	pthread_mutex_unlock(&store_lock);
	if (code == 200 && store_cuts_after && store_cuts_after(tx)) {
		store_cuts_after = NULL;
		path->is_cut = true;
		note("store: the job is stored; VM %d is cut off from the "
		     "store before the answer",
		     (int)((struct server **)path->data - store));
	}
	json_object_put(tx);
	return code;
}

static void query(const char *path, const char *name, char *out, size_t room)
{
	char start[32];
	const char *p;
	size_t n = 0;

	out[0] = '\0';
	snprintf(start, sizeof(start), "?%s=", name);
	p = strstr(path, start);
	if (!p) {
		start[0] = '&';
		p = strstr(path, start);
	}
	if (!p)
		return;
	for (p += strlen(start); *p && *p != '&' && n + 1 < room; p++) {
		unsigned value;

		if (*p == '%' && sscanf(p + 1, "%2x", &value) == 1) {
			out[n++] = (char)value;
			p += 2;
		} else {
			out[n++] = *p;
		}
	}
	out[n] = '\0';
}

static int compare_rows(const void *a, const void *b)
{
	return strcmp((*(struct row *const *)a)->key,
		      (*(struct row *const *)b)->key);
}

static int compare_versions(const void *a, const void *b)
{
	int64_t x = (*(struct row *const *)a)->version;
	int64_t y = (*(struct row *const *)b)->version;

	return x < y ? -1 : x > y;
}

static int handle_get(const struct request *r, json_object **out)
{
	static struct row *found[MAX_ROWS];
	char table[256], part[256], from[256], to[256], limit[32];
	json_object *list = json_object_new_array();
	int n = 0, most = 500;

	query(r->path, "Table", table, sizeof(table));
	query(r->path, "part", part, sizeof(part));
	query(r->path, "From", from, sizeof(from));
	query(r->path, "To", to, sizeof(to));
	query(r->path, "Limit", limit, sizeof(limit));
	if (limit[0] && atoi(limit) > 0 && atoi(limit) < most)
		most = atoi(limit);
	pthread_mutex_lock(&store_lock);
	for (int i = 0; i < row_count; i++) {
		if (rows[i]->value && !strcmp(rows[i]->table, table) &&
		    !strcmp(rows[i]->part, part) &&
		    strcmp(rows[i]->key, from) >= 0 &&
		    (!to[0] || strcmp(rows[i]->key, to) < 0))
			found[n++] = rows[i];
	}
	qsort(found, (size_t)n, sizeof(found[0]), compare_rows);
	for (int i = 0; i < n && i < most; i++)
		json_object_array_add(list, encode_row(found[i]));
	*out = answer(list);
	json_object_object_add(*out, "HasMore",
			       json_object_new_boolean(n > most));
	pthread_mutex_unlock(&store_lock);
	return 200;
}

static int handle_feed(const struct request *r, json_object **out)
{
	static struct row *found[MAX_ROWS];
	char table[256], after[32], wait[32];
	json_object *list = json_object_new_array();
	struct timespec until;
	int64_t due_ms;
	int n;

	query(r->path, "Table", table, sizeof(table));
	query(r->path, "After", after, sizeof(after));
	query(r->path, "WaitMs", wait, sizeof(wait));
	due_ms = now_ms() + atoll(wait);
	pthread_mutex_lock(&store_lock);
	for (;;) {
		n = 0;
		for (int i = 0; i < row_count; i++) {
			if (!strcmp(rows[i]->table, table) &&
			    rows[i]->version > atoll(after))
				found[n++] = rows[i];
		}
		if (n || now_ms() >= due_ms)
			break;
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store_changed, &store_lock, &until);
	}
	qsort(found, (size_t)n, sizeof(found[0]), compare_versions);
	for (int i = 0; i < n; i++)
		json_object_array_add(list, encode_row(found[i]));
	*out = answer(list);
	pthread_mutex_unlock(&store_lock);
	return 200;
}

static int handle_store(void *data, struct request *r, json_object **out)
{
	struct server *path = *(struct server **)data;

	if (!strncmp(r->path, "/corianderstep/rows-tx", 22))
		return handle_tx(path, r, out);
	if (!strncmp(r->path, "/corianderstep/rows-get", 23))
		return handle_get(r, out);
	if (!strncmp(r->path, "/corianderstep/rows-feed", 24))
		return handle_feed(r, out);
	return 404;
}

void store_start(void)
{
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	start_thread(watch_time, NULL);
	for (int i = 0; i < MAX_ENTRIES_VM; i++)
		store[i] = server_new(handle_store, store + i);
}

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t len = strlen(text), n = 0;
	char *out = malloc(len / 3 * 4 + 8);

	for (size_t i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(uint8_t)text[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(uint8_t)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint8_t)text[i + 2];
		out[n++] = digits[v >> 18];
		out[n++] = digits[v >> 12 & 63];
		out[n++] = i + 1 < len ? digits[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? digits[v & 63] : '=';
	}
	out[n] = '\0';
	return out;
}

int64_t store_put(const char *table, const char *key, const char *json)
{
	char *value = base64(json);
	int64_t version;

	pthread_mutex_lock(&store_lock);
	version = ++store_version;
	set_row(table, "", key, value);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
	free(value);
	return version;
}

void store_drop(const char *table, const char *key)
{
	pthread_mutex_lock(&store_lock);
	store_version++;
	set_row(table, "", key, NULL);
	pthread_cond_broadcast(&store_changed);
	pthread_mutex_unlock(&store_lock);
}

void store_heal(void)
{
	for (int i = 0; i < MAX_ENTRIES_VM; i++)
		store[i]->is_cut = false;
	note("store: the cut is over");
}

/* ------------------------------------------------------------- workers --- */

#define MAX_RUNS 512
#define MAX_ENDS 4096
#define MAX_NAME 64

struct run {
	char task[MAX_NAME];
	int64_t run, end_ms;
	int64_t began_ms, stop_ms; /* stop_ms: 0 unless being stopped */
};

struct run_end {
	int64_t number;
	char task[MAX_NAME];
	int64_t run;
	const char *how;
};

struct worker {
	char id[32];
	int index;
	struct server *server;
	struct run runs[MAX_RUNS];
	int run_count;
	struct run_end ends[MAX_ENDS];
	int end_count;
	struct run_end *refused; /* runs up to these numbers are rejected */
	int refused_count, refused_room;
	int64_t last_end, fence, lease_ms, born_ms, sequence;
	int64_t clock_zero_ms; /* its clock starts anew with each life */
	int life;
	char last_done[MAX_NAME];
};

static struct worker workers[MAX_WORKERS];
static int worker_count;
static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t worker_changed = PTHREAD_COND_INITIALIZER;

struct history {
	char task[MAX_NAME];
	bool is_end;
	bool is_noted;	   /* an end that AckCursor has reached */
	bool is_after_end; /* a start after such an end */
};
static struct history *history;
static int history_count, history_room;

static bool workers_restarted; /* since when it matters what ran before */

static void remember(const char *task, bool is_end)
{
	if (history_count == history_room)
		history = realloc(history,
				  sizeof(*history) *
					  (size_t)(history_room += 4096));
	memset(&history[history_count], 0, sizeof(*history));
	snprintf(history[history_count].task, MAX_NAME, "%s", task);
	for (int i = 0; !is_end && workers_restarted && i < history_count; i++)
		history[history_count].is_after_end |=
			history[i].is_noted && !strcmp(history[i].task, task);
	history[history_count++].is_end = is_end;
}

/* A run that isn't higher than one stopped or ended here is rejected. */
static void refuse_run(struct worker *w, const char *task, int64_t run)
{
	struct run_end *e = NULL;

	for (int i = 0; i < w->refused_count && !e; i++) {
		if (!strcmp(w->refused[i].task, task))
			e = &w->refused[i];
	}
	if (!e) {
		if (w->refused_count == w->refused_room)
			w->refused = realloc(
				w->refused,
				sizeof(*e) * (size_t)(w->refused_room += 1024));
		e = &w->refused[w->refused_count++];
		snprintf(e->task, MAX_NAME, "%s", task);
		e->run = 0;
	}
	if (run > e->run)
		e->run = run;
}

static void note_end(const char *task)
{
	for (int i = 0; i < history_count; i++) {
		if (history[i].is_end && !strcmp(history[i].task, task))
			history[i].is_noted = true;
	}
}

static int64_t clock_of(const struct worker *w)
{
	return now_ms() - w->clock_zero_ms;
}

static void end_run(struct worker *w, int i, const char *how)
{
	struct run *r = &w->runs[i];
	struct run_end *e;

	if (w->end_count == MAX_ENDS)
		finish(2);
	e = &w->ends[w->end_count++];
	e->number = ++w->last_end;
	memcpy(e->task, r->task, MAX_NAME);
	e->run = r->run;
	e->how = how;
	refuse_run(w, r->task, r->run);
	if (!strcmp(how, "done")) {
		remember(r->task, true);
		snprintf(w->last_done, MAX_NAME, "%s", r->task);
	} else {
		note("worker %s: %s run %lld ends %s", w->id, r->task,
		     (long long)r->run, how);
	}
	w->runs[i] = w->runs[--w->run_count];
	pthread_cond_broadcast(&worker_changed);
}

static void *tick_workers(void *data)
{
	(void)data;
	for (;;) {
		int64_t t = now_ms();

		pthread_mutex_lock(&worker_lock);
		for (int i = 0; i < worker_count; i++) {
			struct worker *w = &workers[i];

			for (int k = w->run_count; k-- > 0;) {
				if (t >= w->lease_ms)
					end_run(w, k, "lapsed");
				else if (w->runs[k].stop_ms &&
					 t >= w->runs[k].stop_ms)
					end_run(w, k, "stopped");
				else if (t >= w->runs[k].end_ms)
					end_run(w, k, "done");
			}
		}
		pthread_mutex_unlock(&worker_lock);
		sleep_ms(5);
	}
	return NULL;
}

static json_object *clock_body(const struct worker *w)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, "ClockMs",
			       json_object_new_int64(clock_of(w)));
	json_object_object_add(o, "born", json_object_new_int64(w->born_ms));
	return o;
}

static int refuse(const struct worker *w, const char *reason, json_object **out)
{
	*out = clock_body(w);
	json_object_object_add(*out, "Reason", json_object_new_string(reason));
	return 409;
}

static void extend_lease(struct worker *w, json_object *body)
{
	int64_t until = int_of(body, "UntilMs") + w->clock_zero_ms;
	int64_t most = now_ms() + LEASE_MS;

	if (until > most)
		until = most;
	if (until > w->lease_ms)
		w->lease_ms = until;
}

static struct run *find_run(struct worker *w, const char *task)
{
	for (int i = 0; i < w->run_count; i++) {
		if (!strcmp(w->runs[i].task, task))
			return &w->runs[i];
	}
	return NULL;
}

static bool is_old(const struct worker *w, const char *task, int64_t run)
{
	for (int i = 0; i < w->refused_count; i++) {
		if (!strcmp(w->refused[i].task, task))
			return run <= w->refused[i].run;
	}
	return false;
}

static int handle_start(struct worker *w, json_object *body, json_object **out)
{
	const char *task = text_of(body, "Task");
	const char *spec = text_of(body, "Spec");
	const char *at = strstr(spec, "run_ms=");
	struct run *r = find_run(w, task);

	if (int_of(body, "UntilMs") <= clock_of(w))
		return refuse(w, "late", out);
	if (is_old(w, task, int_of(body, "Run")) ||
	    (r && int_of(body, "Run") < r->run))
		return refuse(w, "old", out);
	extend_lease(w, body);
	if (!r) {
		if (w->run_count == MAX_RUNS)
			return refuse(w, "room", out);
		r = &w->runs[w->run_count++];
		memset(r, 0, sizeof(*r));
		snprintf(r->task, MAX_NAME, "%s", task);
		r->run = int_of(body, "Run");
		r->began_ms = now_ms();
		r->end_ms = now_ms() + (at ? atoll(at + 7) : 300);
		/* Of some steps, one work unit in 20 takes longer. */
		at = strstr(spec, "long_ms=");
		if (at && atoll(strrchr(task, '.') + 1) % 20 == 0)
			r->end_ms = now_ms() + atoll(at + 8);
		remember(task, false);
	}
	*out = clock_body(w);
	return 200;
}

static int handle_stop(struct worker *w, json_object *body, json_object **out)
{
	struct run *r = find_run(w, text_of(body, "Task"));

	if (r && r->run <= int_of(body, "Run") && !r->stop_ms)
		r->stop_ms = now_ms() + STOP_MS / 2;
	else if (!r)
		refuse_run(w, text_of(body, "Task"), int_of(body, "Run"));
	*out = clock_body(w);
	return 200;
}

static int handle_hold(struct worker *w, json_object *body, json_object **out)
{
	int64_t due = now_ms() + int_of(body, "WaitMs");
	int64_t acked = int_of(body, "AckCursor");
	json_object *running = json_object_new_array();
	json_object *ended = json_object_new_array();
	int kept = 0;
	int life = w->life;

	extend_lease(w, body);
	for (int i = 0; i < w->end_count; i++) {
		if (w->ends[i].number > acked)
			w->ends[kept++] = w->ends[i];
		else if (!strcmp(w->ends[i].how, "done"))
			note_end(w->ends[i].task);
	}
	w->end_count = kept;
	while (!w->end_count && now_ms() < due && life == w->life) {
		struct timespec until;

		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += 20000000;
		if (until.tv_nsec >= 1000000000) {
			until.tv_sec++;
			until.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&worker_changed, &worker_lock, &until);
	}
	if (life != w->life) {
		json_object_put(running);
		json_object_put(ended);
		return -1;
	}
	for (int i = 0; i < w->run_count; i++) {
		const struct run *r = &w->runs[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_string(r->task));
		json_object_array_add(e, json_object_new_int64(r->run));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(
			e,
			json_object_new_int64((now_ms() - r->began_ms) * 100 /
					      (r->end_ms - r->began_ms + 1)));
		json_object_array_add(e, json_object_new_int64(1000));
		json_object_array_add(running, e);
	}
	for (int i = 0; i < w->end_count && i < 500; i++) {
		const struct run_end *r = &w->ends[i];
		json_object *e = json_object_new_array();

		json_object_array_add(e, json_object_new_int64(r->number));
		json_object_array_add(e, json_object_new_string(r->task));
		json_object_array_add(e, json_object_new_int64(r->run));
		json_object_array_add(e, json_object_new_string(r->how));
		json_object_array_add(e, json_object_new_string(""));
		json_object_array_add(ended, e);
	}
	*out = clock_body(w);
	json_object_object_add(*out, "Running", running);
	json_object_object_add(*out, "Ended", ended);
	return 200;
}

static int handle_worker(void *data, struct request *r, json_object **out)
{
	struct worker *w = data;
	json_object *body = json_tokener_parse(r->body);
	int code = 404;

	if (!body)
		return 400;
	if (r->instance[0] && strcmp(r->instance, w->id) != 0) {
		json_object_put(body);
		return 421;
	}
	pthread_mutex_lock(&worker_lock);
	if (int_of(body, "Fence") < w->fence) {
		code = refuse(w, "fence", out);
	} else {
		w->fence = int_of(body, "Fence");
		if (strstr(r->path, "/run-start"))
			code = refusing_worker == w->index
				       ? 503
				       : handle_start(w, body, out);
		else if (strstr(r->path, "/run-stop"))
			code = handle_stop(w, body, out);
		else if (strstr(r->path, "/hold"))
			code = handle_hold(w, body, out);
	}
	pthread_mutex_unlock(&worker_lock);
	json_object_put(body);
	return code;
}

static void register_worker(struct worker *w)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"tov-a\","
		 "\"Version\":\"1\",\"Slots\":8,\"State\":\"ready\","
		 "\"Capacity\":{\"Cpu\":64000,\"MemMb\":131072,\"Gpu\":8},"
		 "\"Labels\":[\"%s\",\"r%d\"],\"born\":%lld,\"Sequence\":%lld}",
		 w->index >= second_service_from ? "gobi" : "salkhi",
		 w->server->address, w->index ? "a" : "b", w->index / 8,
		 (long long)w->born_ms, (long long)++w->sequence);
	store_put("servers", w->id, text);
}

static void *beat(void *data)
{
	(void)data;
	for (;;) {
		sleep_ms(1500);
		for (int i = 0; i < worker_count; i++)
			register_worker(&workers[i]);
	}
	return NULL;
}

void workers_start(int count)
{
	for (int i = 0; i < count; i++) {
		struct worker *w = &workers[i];

		snprintf(w->id, sizeof(w->id), "w%d-%x", i, (unsigned)getpid());
		w->index = i;
		w->born_ms = wall_ms();
		w->server = server_new(handle_worker, w);
		register_worker(w);
	}
	worker_count = count;
	start_thread(tick_workers, NULL);
	start_thread(beat, NULL);
}

int workers_running(void)
{
	int n = 0;

	pthread_mutex_lock(&worker_lock);
	for (int i = 0; i < worker_count; i++)
		n += workers[i].run_count;
	pthread_mutex_unlock(&worker_lock);
	return n;
}

int workers_restart(const char *prefix, int count)
{
	int n = 0;

	workers_restarted = true;
	for (int i = 0; i < worker_count && n < count; i++) {
		struct worker *w = &workers[i];

		pthread_mutex_lock(&worker_lock);
		if (strncmp(w->last_done, prefix, strlen(prefix)) != 0 ||
		    w->run_count || w->end_count) {
			pthread_mutex_unlock(&worker_lock);
			continue;
		}
		w->refused_count = 0;
		w->last_end = w->fence = w->lease_ms = 0;
		w->last_done[0] = '\0';
		w->born_ms = wall_ms();
		w->clock_zero_ms = now_ms();
		w->life++;
		pthread_cond_broadcast(&worker_changed);
		pthread_mutex_unlock(&worker_lock);
		pthread_mutex_lock(&server_lock);
		for (struct connection *c = w->server->connections; c;
		     c = c->next)
			shutdown(c->fd, SHUT_RDWR);
		pthread_mutex_unlock(&server_lock);
		register_worker(w);
		n++;
	}
	return n;
}

int workers_starts_after_end(const char *prefix)
{
	int n = 0;

	pthread_mutex_lock(&worker_lock);
	for (int i = 0; i < history_count; i++)
		n += history[i].is_after_end &&
		     !strncmp(history[i].task, prefix, strlen(prefix));
	pthread_mutex_unlock(&worker_lock);
	return n;
}

static int count_history(const char *prefix, bool is_end)
{
	int n = 0;

	pthread_mutex_lock(&worker_lock);
	for (int i = 0; i < history_count; i++)
		n += history[i].is_end == is_end &&
		     !strncmp(history[i].task, prefix, strlen(prefix));
	pthread_mutex_unlock(&worker_lock);
	return n;
}

int workers_starts(const char *prefix)
{
	return count_history(prefix, false);
}

int workers_ends(const char *prefix)
{
	return count_history(prefix, true);
}

bool workers_run(const char *prefix)
{
	bool found = false;

	pthread_mutex_lock(&worker_lock);
	for (int i = 0; i < worker_count; i++) {
		for (int k = 0; k < workers[i].run_count; k++)
			found |= !strncmp(workers[i].runs[k].task, prefix,
					  strlen(prefix));
	}
	pthread_mutex_unlock(&worker_lock);
	return found;
}

/* --------------------------------------------------------- entry VMs --- */

static void reserve(char *address)
{
	close(listen_any(address));
}

static void start_entry(int i)
{
	char internal[ADDRESS_BYTES], forward[ADDRESS_BYTES];
	char name[200], log[200], variable[240];
	FILE *f;

	reserve(frontends[i]);
	reserve(readiness[i]);
	reserve(internal);
	reserve(forward);
	snprintf(name, sizeof(name), "%s/settings-%d", folder, i);
	snprintf(log, sizeof(log), "%s/log-%d", folder, i);
	f = fopen(name, "w");
	if (!f)
		finish(2);
	fprintf(f,
		"{\"node\":\"edge-tov-a-%d\",\"failure_domain\":\"tov-a\","
		"\"frontend\":\"%s\",\"readiness\":\"%s\",\"internal\":\"%s\","
		"\"forward\":\"%s\",\"cpu_share\":0.25,"
		"\"store\":{\"address\":\"%s\",\"writes_per_s\":800,"
		"\"reads_per_s\":2000},\"bounds\":{\"lease_ms\":%d,"
		"\"grace_s\":6,\"status_s\":120}}\n",
		i + 1, frontends[i], readiness[i], internal, forward,
		store[i]->address, LEASE_MS);
	fclose(f);
	snprintf(variable, sizeof(variable), "CORIANDERSTEP_SETTINGS=%s", name);
	entries[i] = fork();
	if (entries[i] == 0) {
		/* Ends with this program, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int out = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(out, 1);
		dup2(out, 2);
		putenv(variable);
		if (chdir(getenv("CS_ROOT")) == 0)
			execl("target/bin/csentryd", "target/bin/csentryd",
			      NULL);
		_exit(127);
	}
}

void entries_start(int count)
{
	int64_t end_ms = now_ms() + 15000;

	if (!mkdtemp(folder) || !getenv("CS_ROOT"))
		finish(2);
	has_folder = true;
	for (int i = 0; i < count; i++, entry_count++)
		start_entry(i);
	for (int i = 0; i < count;) {
		struct reply r =
			call(readiness[i], "GET", "/corianderstep/readyz", NULL,
			     NULL, 1000);

		if (r.code == 200) {
			i++;
			continue;
		}
		if (now_ms() > end_ms) {
			note("entry VM %d is not ready", i);
			finish(2);
		}
		/* Another program has taken a port meanwhile: other ports. */
		if (waitpid(entries[i], NULL, WNOHANG) == entries[i])
			start_entry(i);
		sleep_ms(50);
	}
	note("%d entry VMs are ready", count);
}

int log_count(int entry, const char *text)
{
	char name[200], line[8192];
	int n = 0;
	FILE *f;

	snprintf(name, sizeof(name), "%s/log-%d", folder, entry);
	f = fopen(name, "r");
	while (f && fgets(line, sizeof(line), f))
		n += strstr(line, text) != NULL;
	if (f)
		fclose(f);
	return n;
}

/* ----------------------------------------------------------- clients --- */

static int add_route(char *out, size_t room, const char *name, int priority,
		     const char *service)
{
	return snprintf(out, room,
			"{\"Name\":\"%s\",\"Host\":\"" HOST "\","
			"\"PathPrefix\":\"/%s/\",\"Service\":\"%s\","
			"\"Priority\":%d,\"MaxAttempts\":2,\"Stretch\":3,"
			"\"TargetLatencyMs\":1000}",
			name, name, service, priority);
}

void put_config(int version, const char *further_route, const char *further_key)
{
	char routes[2048], further[1024] = "", text[4096];

	add_route(routes, sizeof(routes), "spot", spot_priority, "salkhi");
	if (further_route)
		add_route(further, sizeof(further), further_route, 2, "salkhi");
	snprintf(text, sizeof(text),
		 "{\"Version\":%d,\"Routes\":[%s%s%s],"
		 "\"Services\":[{\"Name\":\"salkhi\"}],\"Limits\":{},"
		 "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"" KEY
		 "\"%s%s%s],"
		 "\"Guaranteed\":{\"Gpu\":8}}]}",
		 version, routes, further_route ? "," : "", further,
		 further_key ? ",\"" : "", further_key ? further_key : "",
		 further_key ? "\"" : "");
	store_put("op", "config", text);
	note("operator: version %d is acknowledged%s%s%s%s", version,
	     further_route ? "; further queue " : "",
	     further_route ? further_route : "",
	     further_key ? "; further key " : "",
	     further_key ? further_key : "");
}

void put_two_services(int version)
{
	char urgent[1024], other[1024], text[4096];

	add_route(urgent, sizeof(urgent), "spot", 0, "salkhi");
	add_route(other, sizeof(other), "tiles", 1, "gobi");
	snprintf(text, sizeof(text),
		 "{\"Version\":%d,\"Routes\":[%s,%s],\"Services\":["
		 "{\"Name\":\"salkhi\"},{\"Name\":\"gobi\"}],\"Limits\":{},"
		 "\"Tenants\":[{\"Name\":\"t1\",\"ApiKeys\":[\"" KEY
		 "\"],\"Guaranteed\":{\"Gpu\":8}}]}",
		 version, urgent, other);
	store_put("op", "config", text);
	note("operator: version %d: queue /spot/ of priority 0 on the service "
	     "salkhi, queue /tiles/ of priority 1 on the service gobi",
	     version);
}

static int later_ms, later_version;

static void *put_later(void *data)
{
	(void)data;
	sleep_ms(later_ms);
	put_config(later_version, NULL, NULL);
	return NULL;
}

void put_config_later(int delay_ms, int version)
{
	later_ms = delay_ms;
	later_version = version;
	start_thread(put_later, NULL);
}

struct reply submit(int entry, const char *path, const char *body)
{
	struct reply r = call(frontends[entry], "POST", path, KEY, body, 3000);

	note("client: POST %s at VM %d -> %d", path, entry, r.code);
	return r;
}

struct reply get(int entry, const char *path)
{
	return call(frontends[entry], "GET", path, KEY, NULL, 3000);
}

struct reply cancel(int entry, const char *path)
{
	struct reply r =
		call(frontends[entry], "DELETE", path, KEY, NULL, 3000);

	note("client: DELETE %s at VM %d -> %d", path, entry, r.code);
	return r;
}

long pending_of(int entry, const char *path)
{
	struct reply r = get(entry, path);
	const char *at = strstr(r.body, "\"Pending\":");

	return r.code == 200 && at ? atol(at + 10) : -1;
}
