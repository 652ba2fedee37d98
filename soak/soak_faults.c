#include "soak/soak_faults.h"

#include <signal.h>
#include <stdio.h>

#include "base/util.h"

/* The time between two faults is random, from 0 to twice this. */
#define MEAN_FAULT_GAP_MS 500
#define MIN_FAULT_MS 200
#define MAX_FAULT_MS 4000
#define LOOP_INTERVAL_MS 20
/* Exclusive upper bounds of random draws. */
#define DELAY_LIMIT_MS 400
#define LOST_ANSWERS_LIMIT 4
#define CONFIG_CHANGES_LIMIT 5
/* Longest wait for the exit after SIGKILL. */
#define KILL_TIMEOUT_MS 10000
/* Time to exit after SIGTERM: the setting bounds.grace_s of an entry VM. */
#define TERMINATE_GRACE_MS 3000

enum fault_target {
	TARGET_ENTRY,
	TARGET_PATH,
	TARGET_WORKER,
	TARGET_STORE, /* also for faults that have no index */
	TARGET_COUNT,
};

struct soak_faults {
	struct soak_site *site;
	GRand *rand;
	GPtrArray *active; /* of struct active_fault */
	gboolean is_paused[SOAK_ENTRY_COUNT];
	gboolean is_terminated[SOAK_ENTRY_COUNT]; /* by a fault, restarted at
						     its end */
	guint count;
	guint unexpected_exits;
};

struct fault_kind {
	const char *name;
	enum fault_target target;
	void (*begin)(struct soak_faults *f, guint index);
	void (*end)(struct soak_faults *f, guint index); /* NULL for none */
};

struct active_fault {
	const struct fault_kind *kind;
	guint index;
	int64_t end_ms;
};

static const guint target_counts[TARGET_COUNT] = {
	[TARGET_ENTRY] = SOAK_ENTRY_COUNT,
	[TARGET_PATH] = SOAK_PATH_COUNT,
	[TARGET_WORKER] = SOAK_WORKER_COUNT,
	[TARGET_STORE] = 1,
};

static struct cluster_process *entry_process(const struct soak_faults *f,
					     guint index)
{
	return f->site->entries[index].process;
}

static void kill_entry(struct soak_faults *f, guint index)
{
	f->is_terminated[index] = TRUE;
	f->is_paused[index] = FALSE;
	cluster_signal(entry_process(f, index), SIGKILL);
}

static void terminate_entry(struct soak_faults *f, guint index)
{
	f->is_terminated[index] = TRUE;
	cluster_signal(entry_process(f, index), SIGTERM);
}

/* Restarts a terminated entry VM once it has exited; sends SIGKILL after the
 * grace time. */
static void restart_entry(struct soak_faults *f, guint index)
{
	if (!f->is_terminated[index])
		return;
	if (f->is_paused[index])
		cluster_signal(entry_process(f, index), SIGCONT);
	f->is_paused[index] = FALSE;
	if (cluster_wait_exit(entry_process(f, index), TERMINATE_GRACE_MS) ==
	    -1) {
		cluster_signal(entry_process(f, index), SIGKILL);
		g_assert_cmpint(cluster_wait_exit(entry_process(f, index),
						  KILL_TIMEOUT_MS),
				!=, -1);
	}
	f->is_terminated[index] = FALSE;
	soak_site_start_entry(f->site, index);
}

static void kill_all_entries(struct soak_faults *f, guint index)
{
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++)
		kill_entry(f, i);
}

static void restart_all_entries(struct soak_faults *f, guint index)
{
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++)
		restart_entry(f, i);
}

static void pause_entry(struct soak_faults *f, guint index)
{
	if (f->is_terminated[index])
		return;
	f->is_paused[index] = TRUE;
	cluster_signal(entry_process(f, index), SIGSTOP);
}

static void resume_entry(struct soak_faults *f, guint index)
{
	if (!f->is_paused[index])
		return;
	f->is_paused[index] = FALSE;
	cluster_signal(entry_process(f, index), SIGCONT);
}

static void reload_entry(struct soak_faults *f, guint index)
{
	if (!f->is_terminated[index])
		cluster_signal(entry_process(f, index), SIGHUP);
}

static void control_path(struct soak_faults *f, guint index, const char *change)
{
	char *body = g_strdup_printf("{\"route\":%u,%s}", index, change);

	cluster_control(f->site->cluster, f->site->relay_control, body);
	g_free(body);
}

static void silence_path(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"mode\":\"silent\"");
}

static void refuse_path(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"mode\":\"refuse\"");
}

static void cut_path_up(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"mode\":\"cut_up\"");
}

static void cut_path_down(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"mode\":\"cut_down\"");
}

static void silence_open_connections(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"silence_open\":true");
}

static void delay_path(struct soak_faults *f, guint index)
{
	char *change =
		g_strdup_printf("\"delay_ms\":%d",
				g_rand_int_range(f->rand, 1, DELAY_LIMIT_MS));

	control_path(f, index, change);
	g_free(change);
}

static void clear_path_delay(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"delay_ms\":0");
}

static void restore_path(struct soak_faults *f, guint index)
{
	control_path(f, index, "\"mode\":\"pass\"");
}

static void control_store(struct soak_faults *f, const char *change)
{
	cluster_control(f->site->cluster, f->site->store_address, change);
}

static void set_store_down(struct soak_faults *f, guint index)
{
	control_store(f, "{\"down\":true}");
}

static void set_store_up(struct soak_faults *f, guint index)
{
	control_store(f, "{\"down\":false}");
}

static void silence_store(struct soak_faults *f, guint index)
{
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++)
		silence_path(f, i);
}

static void restore_store(struct soak_faults *f, guint index)
{
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++)
		restore_path(f, i);
}

static void drop_store_answers(struct soak_faults *f, guint index)
{
	char *change = g_strdup_printf(
		"{\"lose_answers\":%d}",
		g_rand_int_range(f->rand, 1, LOST_ANSWERS_LIMIT));

	control_store(f, change);
	g_free(change);
}

static void discard_change_history(struct soak_faults *f, guint index)
{
	control_store(f, "{\"forget_changes\":true}");
}

static void crash_worker(struct soak_faults *f, guint index)
{
	char *change = g_strdup_printf("{\"crash_worker\":%u}", index);

	control_store(f, change);
	g_free(change);
}

static void change_config(struct soak_faults *f, guint index)
{
	gint32 changes = g_rand_int_range(f->rand, 1, CONFIG_CHANGES_LIMIT);

	for (gint32 i = 0; i < changes; i++)
		soak_site_change_config(f->site);
}

static const struct fault_kind fault_kinds[] = {
	{ "entry_kill", TARGET_ENTRY, kill_entry, restart_entry },
	{ "entry_terminate", TARGET_ENTRY, terminate_entry, restart_entry },
	{ "entry_pause", TARGET_ENTRY, pause_entry, resume_entry },
	{ "entry_reload", TARGET_ENTRY, reload_entry, NULL },
	{ "all_kill", TARGET_STORE, kill_all_entries, restart_all_entries },
	{ "path_silent", TARGET_PATH, silence_path, restore_path },
	{ "path_refuse", TARGET_PATH, refuse_path, restore_path },
	{ "path_cut_up", TARGET_PATH, cut_path_up, restore_path },
	{ "path_cut_down", TARGET_PATH, cut_path_down, restore_path },
	{ "path_silence_open", TARGET_PATH, silence_open_connections, NULL },
	{ "path_delay", TARGET_PATH, delay_path, clear_path_delay },
	{ "store_down", TARGET_STORE, set_store_down, set_store_up },
	{ "store_silent", TARGET_STORE, silence_store, restore_store },
	{ "store_lost", TARGET_STORE, drop_store_answers, NULL },
	{ "store_forgets", TARGET_STORE, discard_change_history, NULL },
	{ "worker_crash", TARGET_WORKER, crash_worker, NULL },
	{ "config_change", TARGET_STORE, change_config, NULL },
};

struct soak_faults *soak_faults_new(struct soak_site *site, GRand *rand)
{
	struct soak_faults *f = g_new0(struct soak_faults, 1);

	f->site = site;
	f->rand = rand;
	f->active = g_ptr_array_new_with_free_func(g_free);
	return f;
}

void soak_faults_free(struct soak_faults *f)
{
	g_ptr_array_unref(f->active);
	g_free(f);
}

static void begin_fault(struct soak_faults *f)
{
	const struct fault_kind *kind = &fault_kinds[g_rand_int_range(
		f->rand, 0, G_N_ELEMENTS(fault_kinds))];
	struct active_fault *a = g_new0(struct active_fault, 1);

	a->kind = kind;
	a->index = (guint)g_rand_int_range(f->rand, 0,
					   (gint32)target_counts[kind->target]);
	a->end_ms = util_monotonic_ms() +
		    g_rand_int_range(f->rand, MIN_FAULT_MS, MAX_FAULT_MS);
	printf("time_ms=%" G_GINT64_FORMAT " event=fault kind=%s at=%u "
	       "for_ms=%" G_GINT64_FORMAT "\n",
	       util_monotonic_ms(), kind->name, a->index,
	       kind->end ? a->end_ms - util_monotonic_ms() : 0);
	f->count++;
	kind->begin(f, a->index);
	if (kind->end)
		g_ptr_array_add(f->active, a);
	else
		g_free(a);
}

static void end_faults(struct soak_faults *f, int64_t now_ms)
{
	for (guint i = f->active->len; i-- > 0;) {
		const struct active_fault *a = f->active->pdata[i];

		if (now_ms < a->end_ms)
			continue;
		a->kind->end(f, a->index);
		g_ptr_array_remove_index_fast(f->active, i);
	}
}

/* Counts and restarts entry VMs that exited without a fault's signal. */
static void check_processes(struct soak_faults *f)
{
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++) {
		if (f->is_terminated[i] ||
		    cluster_is_running(entry_process(f, i)))
			continue;
		f->unexpected_exits++;
		printf("time_ms=%" G_GINT64_FORMAT
		       " event=entry_ended entry=e%u code=%d\n",
		       util_monotonic_ms(), i,
		       cluster_wait_exit(entry_process(f, i), 0));
		soak_site_start_entry(f->site, i);
	}
}

void soak_faults_run(struct soak_faults *f, int64_t time_ms)
{
	int64_t end_ms = util_monotonic_ms() + time_ms;
	int64_t next_ms = util_monotonic_ms();

	while (util_monotonic_ms() < end_ms) {
		if (util_monotonic_ms() >= next_ms) {
			next_ms = util_monotonic_ms() +
				  g_rand_int_range(f->rand, 0,
						   2 * MEAN_FAULT_GAP_MS);
			begin_fault(f);
		}
		end_faults(f, util_monotonic_ms());
		check_processes(f);
		cluster_sleep(LOOP_INTERVAL_MS);
	}
}

void soak_faults_heal(struct soak_faults *f)
{
	end_faults(f, INT64_MAX);
	for (guint i = 0; i < SOAK_ENTRY_COUNT; i++) {
		resume_entry(f, i);
		restart_entry(f, i);
	}
	cluster_control(f->site->cluster, f->site->relay_control,
			"{\"mode\":\"pass\",\"delay_ms\":0}");
	control_store(f, "{\"down\":false,\"lose_answers\":0}");
	check_processes(f);
}

guint soak_faults_count(const struct soak_faults *f)
{
	return f->count;
}

guint soak_faults_unexpected_exits(const struct soak_faults *f)
{
	return f->unexpected_exits;
}
