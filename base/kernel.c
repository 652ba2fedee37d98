#include "base/kernel.h"

#include <glib-unix.h>
#include <signal.h>

#include "base/log.h"
#include "base/util.h"

#define DRAIN_POLL_MS 20

struct kernel {
	GPtrArray *services; /**< of struct service */
	struct counters counters;
	struct counter *iterations;
	int64_t drain_timeout_ms;
	int64_t drain_deadline_ms;
	gboolean is_draining;
	gboolean has_ended;
	void (*on_reload)(void *data);
	void *reload_data;
};

struct kernel *kernel_new(int64_t drain_timeout_ms)
{
	struct kernel *k = g_new0(struct kernel, 1);

	k->services = g_ptr_array_new();
	k->drain_timeout_ms = drain_timeout_ms;
	counters_init(&k->counters);
	k->iterations =
		counters_counter(&k->counters, "cs_main_loop_turns_total",
				 "Turns of the main loop");
	return k;
}

void kernel_free(struct kernel *k)
{
	for (guint i = k->services->len; i > 0; i--) {
		struct service *s = g_ptr_array_index(k->services, i - 1);

		s->class->free(s);
	}
	g_ptr_array_unref(k->services);
	counters_clear(&k->counters);
	g_free(k);
}

void kernel_register(struct kernel *k, struct service *s)
{
	g_ptr_array_add(k->services, s);
}

struct service *kernel_find(const struct kernel *k, const char *name)
{
	for (guint i = 0; i < k->services->len; i++) {
		struct service *s = g_ptr_array_index(k->services, i);

		if (g_str_equal(s->class->name, name))
			return s;
	}
	return NULL;
}

json_object *kernel_status(const struct kernel *k)
{
	json_object *json = json_object_new_object();

	for (guint i = 0; i < k->services->len; i++) {
		const struct service *s = g_ptr_array_index(k->services, i);

		if (s->class->status)
			json_object_object_add(json, s->class->name,
					       s->class->status(s));
	}
	return json;
}

struct counters *kernel_counters(struct kernel *k)
{
	return &k->counters;
}

static gboolean all_idle(const struct kernel *k)
{
	for (guint i = 0; i < k->services->len; i++) {
		struct service *s = g_ptr_array_index(k->services, i);

		if (s->class->is_idle && !s->class->is_idle(s))
			return FALSE;
	}
	return TRUE;
}

static gboolean on_drain_poll(gpointer data)
{
	struct kernel *k = data;
	gboolean is_late = util_monotonic_ms() >= k->drain_deadline_ms;

	if (!is_late && !all_idle(k))
		return G_SOURCE_CONTINUE;
	if (is_late) {
		struct log_line line;

		log_begin(&line, LOG_LEVEL_WARN, "drain_timeout");
		log_end(&line);
	}
	k->has_ended = TRUE;
	return G_SOURCE_REMOVE;
}

void kernel_drain(struct kernel *k)
{
	struct log_line line;

	if (k->is_draining)
		return;
	k->is_draining = TRUE;
	k->drain_deadline_ms = util_monotonic_ms() + k->drain_timeout_ms;
	log_begin(&line, LOG_LEVEL_INFO, "drain");
	log_end(&line);
	for (guint i = k->services->len; i > 0; i--) {
		struct service *s = g_ptr_array_index(k->services, i - 1);

		if (s->class->drain)
			s->class->drain(s);
	}
	g_timeout_add(DRAIN_POLL_MS, on_drain_poll, k);
}

gboolean kernel_is_draining(const struct kernel *k)
{
	return k->is_draining;
}

static gboolean on_stop_signal(gpointer data)
{
	kernel_drain(data);
	return G_SOURCE_CONTINUE;
}

void kernel_set_reload_handler(struct kernel *k, void (*fn)(void *data),
			       void *data)
{
	k->on_reload = fn;
	k->reload_data = data;
}

static gboolean on_reload_signal(gpointer data)
{
	struct kernel *k = data;

	if (k->on_reload)
		k->on_reload(k->reload_data);
	return G_SOURCE_CONTINUE;
}

enum status kernel_run(struct kernel *k)
{
	enum status status = STATUS_OK;
	guint sigterm = g_unix_signal_add(SIGTERM, on_stop_signal, k);
	guint sigint = g_unix_signal_add(SIGINT, on_stop_signal, k);
	guint sighup = g_unix_signal_add(SIGHUP, on_reload_signal, k);

	for (guint i = 0; i < k->services->len; i++) {
		struct service *s = g_ptr_array_index(k->services, i);

		status = s->class->start ? s->class->start(s, k) : STATUS_OK;
		if (status != STATUS_OK)
			goto out;
	}
	while (!k->has_ended) {
		g_main_context_iteration(NULL, TRUE);
		counter_add(k->iterations, 1);
	}
out:
	g_source_remove(sigterm);
	g_source_remove(sigint);
	g_source_remove(sighup);
	return status;
}
