#include "soak/soak_faults.h"

#include <signal.h>
#include <stdio.h>

#include "base/util.h"

/* Between two faults, at random up to twice this. */
#define GAP_MS 500
#define SHORTEST_MS 200
#define LONGEST_MS 4000
#define STEP_MS 20
#define MOST_DELAY_MS 400
#define MOST_LOST_ANSWERS 4
#define MOST_CHANGES 5
#define END_MS 10000
/* Settings give an entry VM so long after SIGTERM. */
#define GRACE_MS 3000

/* What a fault strikes. */
enum target {
	TARGET_ENTRY,
	TARGET_PATH,
	TARGET_WORKER,
	TARGET_STORE,
	TARGET_COUNT,
};

struct soak_faults {
	struct soak_site *site;
	GRand *rand;
	GPtrArray *active; /* of struct active */
	gboolean is_paused[SOAK_ENTRIES];
	gboolean is_ended[SOAK_ENTRIES]; /* by a signal, to be started again */
	guint count;
	guint own_ends;
};

struct fault_kind {
	const char *name;
	enum target target;
	void (*begin)(struct soak_faults *f, guint at);
	void (*end)(struct soak_faults *f, guint at); /* NULL for none */
};

struct active {
	const struct fault_kind *kind;
	guint at;
	int64_t end_ms;
};

static const guint target_counts[TARGET_COUNT] = {
	[TARGET_ENTRY] = SOAK_ENTRIES,
	[TARGET_PATH] = SOAK_PATHS,
	[TARGET_WORKER] = SOAK_WORKERS,
	[TARGET_STORE] = 1,
};

static struct cluster_process *process(const struct soak_faults *f, guint at)
{
	return f->site->entries[at].process;
}

static void kill_entry(struct soak_faults *f, guint at)
{
	f->is_ended[at] = TRUE;
	f->is_paused[at] = FALSE;
	cluster_signal(process(f, at), SIGKILL);
}

static void terminate_entry(struct soak_faults *f, guint at)
{
	f->is_ended[at] = TRUE;
	cluster_signal(process(f, at), SIGTERM);
}

/* What was told to end gets the time that the platform gives, then SIGKILL. */
static void restart_entry(struct soak_faults *f, guint at)
{
	if (!f->is_ended[at])
		return;
	if (f->is_paused[at])
		cluster_signal(process(f, at), SIGCONT);
	f->is_paused[at] = FALSE;
	if (cluster_wait_exit(process(f, at), GRACE_MS) == -1) {
		cluster_signal(process(f, at), SIGKILL);
		g_assert_cmpint(cluster_wait_exit(process(f, at), END_MS), !=,
				-1);
	}
	f->is_ended[at] = FALSE;
	soak_site_start_entry(f->site, at);
}

static void kill_all_entries(struct soak_faults *f, guint at)
{
	for (guint i = 0; i < SOAK_ENTRIES; i++)
		kill_entry(f, i);
}

static void restart_all_entries(struct soak_faults *f, guint at)
{
	for (guint i = 0; i < SOAK_ENTRIES; i++)
		restart_entry(f, i);
}

static void pause_entry(struct soak_faults *f, guint at)
{
	if (f->is_ended[at])
		return;
	f->is_paused[at] = TRUE;
	cluster_signal(process(f, at), SIGSTOP);
}

static void resume_entry(struct soak_faults *f, guint at)
{
	if (!f->is_paused[at])
		return;
	f->is_paused[at] = FALSE;
	cluster_signal(process(f, at), SIGCONT);
}

static void reload_entry(struct soak_faults *f, guint at)
{
	if (!f->is_ended[at])
		cluster_signal(process(f, at), SIGHUP);
}

static void set_path(struct soak_faults *f, guint at, const char *change)
{
	char *body = g_strdup_printf("{\"route\":%u,%s}", at, change);

	cluster_control(f->site->cluster, f->site->relay, body);
	g_free(body);
}

static void silence_path(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"mode\":\"silent\"");
}

static void refuse_path(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"mode\":\"refuse\"");
}

static void cut_path_up(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"mode\":\"cut_up\"");
}

static void cut_path_down(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"mode\":\"cut_down\"");
}

static void silence_open(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"silence_open\":true");
}

static void delay_path(struct soak_faults *f, guint at)
{
	char *change = g_strdup_printf(
		"\"delay_ms\":%d", g_rand_int_range(f->rand, 1, MOST_DELAY_MS));

	set_path(f, at, change);
	g_free(change);
}

static void undelay_path(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"delay_ms\":0");
}

static void pass_path(struct soak_faults *f, guint at)
{
	set_path(f, at, "\"mode\":\"pass\"");
}

static void set_store(struct soak_faults *f, const char *change)
{
	cluster_control(f->site->cluster, f->site->store, change);
}

static void stop_store(struct soak_faults *f, guint at)
{
	set_store(f, "{\"down\":true}");
}

static void resume_store(struct soak_faults *f, guint at)
{
	set_store(f, "{\"down\":false}");
}

static void pause_store(struct soak_faults *f, guint at)
{
	for (guint i = 0; i < SOAK_ENTRIES; i++)
		silence_path(f, i);
}

static void unpause_store(struct soak_faults *f, guint at)
{
	for (guint i = 0; i < SOAK_ENTRIES; i++)
		pass_path(f, i);
}

static void lose_answers(struct soak_faults *f, guint at)
{
	char *change = g_strdup_printf(
		"{\"lose_answers\":%d}",
		g_rand_int_range(f->rand, 1, MOST_LOST_ANSWERS));

	set_store(f, change);
	g_free(change);
}

static void forget_changes(struct soak_faults *f, guint at)
{
	set_store(f, "{\"forget_changes\":true}");
}

static void crash_worker(struct soak_faults *f, guint at)
{
	char *change = g_strdup_printf("{\"crash_worker\":%u}", at);

	set_store(f, change);
	g_free(change);
}

static void change_config(struct soak_faults *f, guint at)
{
	gint32 changes = g_rand_int_range(f->rand, 1, MOST_CHANGES);

	for (gint32 i = 0; i < changes; i++)
		soak_site_change_config(f->site);
}

static const struct fault_kind kinds[] = {
	{ "entry_kill", TARGET_ENTRY, kill_entry, restart_entry },
	{ "entry_terminate", TARGET_ENTRY, terminate_entry, restart_entry },
	{ "entry_pause", TARGET_ENTRY, pause_entry, resume_entry },
	{ "entry_reload", TARGET_ENTRY, reload_entry, NULL },
	{ "all_kill", TARGET_STORE, kill_all_entries, restart_all_entries },
	{ "path_silent", TARGET_PATH, silence_path, pass_path },
	{ "path_refuse", TARGET_PATH, refuse_path, pass_path },
	{ "path_cut_up", TARGET_PATH, cut_path_up, pass_path },
	{ "path_cut_down", TARGET_PATH, cut_path_down, pass_path },
	{ "path_silence_open", TARGET_PATH, silence_open, NULL },
	{ "path_delay", TARGET_PATH, delay_path, undelay_path },
	{ "store_down", TARGET_STORE, stop_store, resume_store },
	{ "store_silent", TARGET_STORE, pause_store, unpause_store },
	{ "store_lost", TARGET_STORE, lose_answers, NULL },
	{ "store_forgets", TARGET_STORE, forget_changes, NULL },
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
	const struct fault_kind *kind =
		&kinds[g_rand_int_range(f->rand, 0, G_N_ELEMENTS(kinds))];
	struct active *a = g_new0(struct active, 1);

	a->kind = kind;
	a->at = (guint)g_rand_int_range(f->rand, 0,
					(gint32)target_counts[kind->target]);
	a->end_ms = util_monotonic_ms() +
		    g_rand_int_range(f->rand, SHORTEST_MS, LONGEST_MS);
	printf("time_ms=%" G_GINT64_FORMAT " event=fault kind=%s at=%u "
	       "for_ms=%" G_GINT64_FORMAT "\n",
	       util_monotonic_ms(), kind->name, a->at,
	       kind->end ? a->end_ms - util_monotonic_ms() : 0);
	f->count++;
	kind->begin(f, a->at);
	if (kind->end)
		g_ptr_array_add(f->active, a);
	else
		g_free(a);
}

static void end_faults(struct soak_faults *f, int64_t now_ms)
{
	for (guint i = f->active->len; i-- > 0;) {
		const struct active *a = f->active->pdata[i];

		if (now_ms < a->end_ms)
			continue;
		a->kind->end(f, a->at);
		g_ptr_array_remove_index_fast(f->active, i);
	}
}

/* What no signal of ours has ended must run. */
static void check_processes(struct soak_faults *f)
{
	for (guint i = 0; i < SOAK_ENTRIES; i++) {
		if (f->is_ended[i] || cluster_is_running(process(f, i)))
			continue;
		f->own_ends++;
		printf("time_ms=%" G_GINT64_FORMAT
		       " event=entry_ended entry=e%u code=%d\n",
		       util_monotonic_ms(), i,
		       cluster_wait_exit(process(f, i), 0));
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
				  g_rand_int_range(f->rand, 0, 2 * GAP_MS);
			begin_fault(f);
		}
		end_faults(f, util_monotonic_ms());
		check_processes(f);
		cluster_sleep(STEP_MS);
	}
}

void soak_faults_heal(struct soak_faults *f)
{
	end_faults(f, INT64_MAX);
	for (guint i = 0; i < SOAK_ENTRIES; i++) {
		resume_entry(f, i);
		restart_entry(f, i);
	}
	cluster_control(f->site->cluster, f->site->relay,
			"{\"mode\":\"pass\",\"delay_ms\":0}");
	set_store(f, "{\"down\":false,\"lose_answers\":0}");
	check_processes(f);
}

guint soak_faults_count(const struct soak_faults *f)
{
	return f->count;
}

guint soak_faults_own_ends(const struct soak_faults *f)
{
	return f->own_ends;
}
