#include "entry/election.h"

#include "base/log.h"
#include "base/util.h"
#include "entry/entry_store.h"
#include "entry/table_feed.h"
#include "sched/job_progress.h"
#include "sched/leadership.h"

#define TICK_MS 100
/* Long-poll timeout: the store answers by then even without changes. */
#define FEED_WAIT_MS 1000
/* Upper bound of the random delay that spreads takeover attempts. */
#define JITTER_MS 150
/* VMs with less CPU than this, in cores, let larger VMs take over first. */
#define SMALL_VM_CPU_SHARE 0.2
#define SMALL_VM_DELAY_MS 300
/* Pause of the feed of such VMs between two calls. */
#define SMALL_VM_PAUSE_MS 500
/* Attempts to release the lease before it is left to expire. */
#define MAX_RELEASE_ATTEMPTS 3

/* The store counts as silent after this time without an answer: the feed's long
 * poll and a slow answer. */
#define STORE_SILENT_MS 1200

struct election {
	struct service base;
	struct kernel *kernel;
	struct platform *platform;
	struct table_feed *feed;
	struct leadership lead;
	struct election_listener listener;
	enum leadership_step step; /* performed by the write in flight */
	gboolean is_announced;	   /* on_gained was called, on_lost not yet */
	gboolean is_releasing;
	guint release_attempts;
	guint timer;
};

static struct election *find(const struct kernel *k)
{
	return (struct election *)kernel_find(k, ELECTION_SERVICE);
}

static void log_lease(const struct election *s, const char *event,
		      const char *reason)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, event);
	log_int(&line, "epoch", s->lead.epoch);
	log_int(&line, "version", s->lead.version);
	log_str(&line, "holder", s->lead.holder);
	if (reason)
		log_str(&line, "reason", reason);
	log_end(&line);
}

/* Notifies the listener if this process has lost the lease. */
static void check_lost(struct election *s)
{
	if (!s->is_announced || s->lead.is_holder)
		return;
	s->is_announced = FALSE;
	log_lease(s, "lease_lost", "no longer the holder");
	s->listener.on_lost(s->listener.data);
}

static void on_row(void *data, const struct table_row *row, int64_t store_ms)
{
	struct election *s = data;

	if (!g_str_equal(row->key, LEADERSHIP_KEY))
		return;
	leadership_record_row(&s->lead, row->value, row->version,
			      util_boot_ms());
	check_lost(s);
}

static void on_synced(void *data)
{
	struct election *s = data;

	if (!s->lead.has_read_row)
		leadership_record_row(&s->lead, NULL, 0, util_boot_ms());
}

static void on_call_done(void *data, gboolean is_ok, int64_t store_ms)
{
	struct election *s = data;

	if (!is_ok)
		leadership_record_outage(&s->lead, util_boot_ms());
}

static void apply_conflict(struct election *s,
			   const struct platform_result *result)
{
	for (guint i = 0; i < result->row_count; i++) {
		const struct table_row *row = &result->rows[i];

		if (g_str_equal(row->key, LEADERSHIP_KEY))
			leadership_record_row(&s->lead, row->value,
					      row->version, util_boot_ms());
	}
	check_lost(s);
}

static void become_holder(struct election *s)
{
	s->is_announced = TRUE;
	log_lease(s, "lease_acquired", NULL);
	s->listener.on_gained(s->listener.data, s->lead.epoch,
			      leadership_previous_holder_ms(&s->lead),
			      s->lead.term_version);
}

static void on_written(const struct platform_result *result, void *data)
{
	struct election *s = data;

	if (result->status == STATUS_OK) {
		if (leadership_written(&s->lead, s->step, result->version,
				       util_boot_ms())) {
			/* A new epoch ends an earlier one of this process. */
			if (s->is_announced)
				s->listener.on_lost(s->listener.data);
			become_holder(s);
		}
		return;
	}
	leadership_write_failed(&s->lead);
	if (result->status == STATUS_CONFLICT) {
		apply_conflict(s, result);
		return;
	}
	/* An unchanged row is no sign of a dead holder in an outage. */
	if (s->step == LEADERSHIP_ACQUIRE)
		leadership_record_outage(&s->lead, util_boot_ms());
}

static void write_row(struct election *s, json_object *row,
		      gboolean is_new_term, platform_fn fn)
{
	const struct table_write writes[] = {
		{
			.table = LEADERSHIP_TABLE,
			.key = LEADERSHIP_KEY,
			.expected_version = s->lead.version,
			.value = row,
		},
		{
			.table = LEADERSHIP_TABLE,
			.part = HOLDER_PART,
			.key = LEADERSHIP_TERM_KEY,
			.expected_version = TABLE_ANY_VERSION,
			.value = row,
		},
	};

	platform_commit(s->platform, writes, is_new_term ? 2 : 1, fn, s);
	json_object_put(row);
}

static gboolean on_tick(gpointer data)
{
	struct election *s = data;
	int64_t now_ms = util_boot_ms();
	enum leadership_step step;

	if (leadership_is_overdue(&s->lead, now_ms)) {
		platform_forget(s->platform, s);
		leadership_write_failed(&s->lead);
	}
	step = leadership_next(&s->lead, now_ms);
	if (step == LEADERSHIP_NONE)
		return G_SOURCE_CONTINUE;
	s->step = step;
	leadership_sent(&s->lead, step, now_ms);
	write_row(s, leadership_encode(&s->lead, step),
		  step == LEADERSHIP_ACQUIRE, on_written);
	return G_SOURCE_CONTINUE;
}

static enum status election_start(struct service *base, struct kernel *k)
{
	struct election *s = (struct election *)base;
	const struct entry_settings *settings = entry_settings_of(k);
	char *random = util_random_id();
	char *self = g_strdup_printf("%s/%.8s", settings->node, random);
	int64_t jitter_ms = g_random_int_range(0, JITTER_MS);
	struct table_feed_spec spec = {
		.platform = entry_platform_of(k),
		.table = LEADERSHIP_TABLE,
		.wait_ms = FEED_WAIT_MS,
		.on_row = on_row,
		.on_synced = on_synced,
		.on_call_done = on_call_done,
		.data = s,
	};

	if (settings->cpu_share < SMALL_VM_CPU_SHARE) {
		jitter_ms += SMALL_VM_DELAY_MS;
		spec.pause_ms = SMALL_VM_PAUSE_MS;
	}
	s->kernel = k;
	s->platform = spec.platform;
	leadership_init(&s->lead, self, jitter_ms);
	s->feed = table_feed_new(&spec);
	s->timer = g_timeout_add(TICK_MS, on_tick, s);
	g_free(self);
	g_free(random);
	return STATUS_OK;
}

static void release_lease(struct election *s);

static void on_released(const struct platform_result *result, void *data)
{
	struct election *s = data;

	/* A renewal in flight may have changed the row. */
	if (result->status == STATUS_CONFLICT &&
	    s->release_attempts < MAX_RELEASE_ATTEMPTS) {
		apply_conflict(s, result);
		if (g_strcmp0(s->lead.holder, s->lead.self) == 0) {
			release_lease(s);
			return;
		}
	}
	s->is_releasing = FALSE;
	log_lease(s, "lease_released", status_name(result->status));
}

static void release_lease(struct election *s)
{
	s->release_attempts++;
	write_row(s, leadership_encode_release(&s->lead), FALSE, on_released);
}

static void election_drain(struct service *base)
{
	struct election *s = (struct election *)base;

	s->lead.is_draining = TRUE;
	if (!s->lead.is_holder)
		return;
	s->lead.is_holder = FALSE;
	s->is_releasing = TRUE;
	check_lost(s);
	release_lease(s);
}

static gboolean election_is_idle(const struct service *base)
{
	return !((const struct election *)base)->is_releasing;
}

static void election_free(struct service *base)
{
	struct election *s = (struct election *)base;

	if (s->timer)
		g_source_remove(s->timer);
	if (s->platform)
		platform_forget(s->platform, s);
	table_feed_free(s->feed);
	leadership_clear(&s->lead);
	g_free(s);
}

static const struct service_class election_class = {
	.name = ELECTION_SERVICE,
	.start = election_start,
	.drain = election_drain,
	.is_idle = election_is_idle,
	.free = election_free,
};

struct service *election_new(void)
{
	struct election *s = g_new0(struct election, 1);

	s->base.class = &election_class;
	return &s->base;
}

void election_set_listener(const struct kernel *k,
			   const struct election_listener *listener)
{
	find(k)->listener = *listener;
}

gboolean election_may_act(const struct kernel *k)
{
	return leadership_may_act(&find(k)->lead, util_boot_ms());
}

int64_t election_act_left_ms(const struct kernel *k)
{
	return leadership_act_left_ms(&find(k)->lead, util_boot_ms());
}

gboolean election_hears_store(const struct kernel *k)
{
	int64_t last_ms = table_feed_last_answer_ms(find(k)->feed);

	return last_ms && util_boot_ms() - last_ms < STORE_SILENT_MS;
}

void election_step_down(const struct kernel *k)
{
	struct election *s = find(k);

	s->lead.is_holder = FALSE;
	/* Delays this process's next attempt to acquire the lease. */
	leadership_record_outage(&s->lead, util_boot_ms());
	check_lost(s);
}
