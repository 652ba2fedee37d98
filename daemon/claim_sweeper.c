#include "daemon/claim_sweeper.h"

#include "base/byte_pace.h"
#include "base/log.h"
#include "base/util.h"
#include "daemon/claim_peer.h"
#include "request/claim.h"
#include "request/claim_walk.h"

/** Rows handled at once: claims must not wait long behind them. */
#define MAX_AT_ONCE 16
#define GAP_MS INT64_C(1000)
/** Parts of a retention: for the gap, the epoch's reads and a pass. */
#define GAPS 64
#define EPOCH_READS 8
#define PASSES 4

struct claim_sweeper {
	struct claim_sweeper_spec spec;
	struct claim_epoch epoch;
	struct claim_walk walk;
	struct byte_pace pace;
	int64_t next_ms;
	int64_t pass_ms;  /* when the pass began */
	int64_t asked_ms; /* when the epoch's row was read last */
	gboolean is_busy; /* a read or a write of the epoch is under way */
	guint timer;
	GQueue waiting;	 /* of struct sweep_row */
	GPtrArray *rows; /* of struct sweep_row, under way */
	struct counter *scans;
	struct counter *scan_bytes;
	struct counter *deleted;
	struct counter *adopted;
	struct counter *held;
	struct counter *failed;
	struct counter *epochs;
};

/* A row that is to be deleted or to be given an epoch. */
struct sweep_row {
	struct claim_sweeper *sweeper;
	struct http_call *ask;
	enum claim_fate fate;
	char *key;
	int64_t version;
	json_object *value;
	struct claim_row row;
};

static void plan(struct claim_sweeper *s);
static void handle_rows(struct claim_sweeper *s);

static void sweep_row_free(gpointer data)
{
	struct sweep_row *r = data;

	claim_store_forget(r->sweeper->spec.store, r);
	if (r->ask)
		http_call_cancel(r->ask);
	schema_clear(&claim_row_schema, &r->row);
	json_object_put(r->value);
	g_free(r->key);
	g_free(r);
}

static void row_end(struct sweep_row *r, struct counter *counter)
{
	struct claim_sweeper *s = r->sweeper;

	counter_add(counter, 1);
	g_ptr_array_remove_fast(s->rows, r);
	handle_rows(s);
}

/* A conflict or a lost answer: the next pass looks at the row again. */
static void on_written(enum status status, int64_t version, void *data)
{
	struct sweep_row *r = data;
	struct claim_sweeper *s = r->sweeper;

	if (status != STATUS_OK)
		row_end(r, s->failed);
	else
		row_end(r,
			r->fate == CLAIM_FATE_ADOPT ? s->adopted : s->deleted);
}

static void write_row(struct sweep_row *r, json_object *value)
{
	claim_store_write(r->sweeper->spec.store, r->key, r->version, value,
			  on_written, r);
}

static void on_asked(const struct http_reply *reply, void *data)
{
	struct sweep_row *r = data;

	r->ask = NULL;
	if (claim_peer_state(reply, r->row.incarnation) == CLAIM_PEER_ENDED)
		write_row(r, NULL);
	else
		row_end(r, r->sweeper->held);
}

static void adopt(struct sweep_row *r)
{
	json_object_object_add(r->value, "epoch",
			       json_object_new_int64(r->sweeper->epoch.value));
	write_row(r, json_object_get(r->value));
}

static void handle_row(struct sweep_row *r)
{
	switch (r->fate) {
	case CLAIM_FATE_ADOPT:
		adopt(r);
		break;
	case CLAIM_FATE_ASK:
		r->ask = claim_peer_ask(r->sweeper->spec.http, r->row.address,
					r->row.request_id, on_asked, r);
		break;
	default:
		write_row(r, NULL);
	}
}

static void handle_rows(struct claim_sweeper *s)
{
	while (s->rows->len < MAX_AT_ONCE && !g_queue_is_empty(&s->waiting)) {
		struct sweep_row *r = g_queue_pop_head(&s->waiting);

		g_ptr_array_add(s->rows, r);
		handle_row(r);
	}
	plan(s);
}

static void take_row(struct claim_sweeper *s, const struct table_row *row)
{
	struct sweep_row *r = g_new0(struct sweep_row, 1);
	struct finding_list findings;

	r->sweeper = s;
	r->key = g_strdup(row->key);
	r->version = row->version;
	r->value = json_object_get(row->value);
	finding_list_init(&findings);
	if (schema_decode(&claim_row_schema, row->value, &r->row, "", NULL,
			  &findings))
		r->fate = claim_epoch_fate(&s->epoch, r->row.epoch,
					   r->row.state == CLAIM_CLAIMED,
					   util_boot_ms());
	finding_list_clear(&findings);
	if (r->fate == CLAIM_FATE_KEEP)
		sweep_row_free(r);
	else
		g_queue_push_tail(&s->waiting, r);
}

static void log_pass(struct claim_sweeper *s)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_INFO, "claims_swept");
	log_int(&line, "epoch", s->epoch.value);
	log_int(&line, "deleted", s->deleted->value);
	log_int(&line, "adopted", s->adopted->value);
	log_int(&line, "held", s->held->value);
	log_int(&line, "digits", s->walk.digits);
	log_end(&line);
}

static void go_on(struct claim_sweeper *s, int64_t bytes, int64_t now_ms)
{
	int64_t gap_ms = MIN(GAP_MS, s->spec.retention_ms / GAPS);
	int64_t delay_ms = byte_pace_delay_ms(&s->pace, 0, now_ms);

	s->next_ms = now_ms + MAX(delay_ms, gap_ms);
	if (!claim_walk_next(&s->walk, bytes))
		return;
	log_pass(s);
	s->next_ms =
		MAX(s->next_ms, s->pass_ms + s->spec.retention_ms / PASSES);
	s->pass_ms = s->next_ms;
}

static void on_scanned(const struct platform_result *result, void *data)
{
	struct claim_sweeper *s = data;
	int64_t now_ms = util_monotonic_ms();

	s->is_busy = FALSE;
	byte_pace_add(&s->pace, result->body_bytes, now_ms);
	counter_add(s->scan_bytes, result->body_bytes);
	if (result->status == STATUS_OK) {
		for (guint i = 0; i < result->row_count; i++)
			take_row(s, &result->rows[i]);
		go_on(s, result->body_bytes, now_ms);
	} else {
		s->next_ms = now_ms + GAP_MS;
	}
	handle_rows(s);
}

static void scan(struct claim_sweeper *s)
{
	char *prefix = claim_walk_prefix(&s->walk);

	s->is_busy = TRUE;
	counter_add(s->scans, 1);
	platform_scan(s->spec.platform, CLAIM_TABLE, prefix, on_scanned, s);
	g_free(prefix);
}

/* Whoever wrote it: the next read tells. */
static void on_advanced(const struct platform_result *result, void *data)
{
	struct claim_sweeper *s = data;

	s->is_busy = FALSE;
	if (result->status == STATUS_OK)
		counter_add(s->epochs, 1);
	else if (result->status != STATUS_CONFLICT)
		s->asked_ms = util_boot_ms();
	plan(s);
}

static void advance(struct claim_sweeper *s)
{
	struct table_write write = {
		.table = CLAIM_EPOCH_TABLE,
		.key = CLAIM_EPOCH_KEY,
		.expected_version = s->epoch.value == CLAIM_EPOCH_NONE
					    ? TABLE_ABSENT
					    : s->epoch.version,
		.value = json_object_new_object(),
	};

	json_object_object_add(write.value, "epoch",
			       json_object_new_int64(s->epoch.value + 1));
	json_object_object_add(write.value, "retention_ms",
			       json_object_new_int64(s->spec.retention_ms));
	s->is_busy = TRUE;
	s->asked_ms = 0;
	platform_commit(s->spec.platform, &write, 1, on_advanced, s);
	json_object_put(write.value);
}

static int64_t number_of(json_object *value, const char *name)
{
	json_object *member = NULL;

	if (!json_object_object_get_ex(value, name, &member))
		return 0;
	return json_object_get_int64(member);
}

/* Another retention counts other epochs: nothing is known then. */
static gboolean has_retention(const struct claim_sweeper *s, json_object *value)
{
	int64_t retention_ms = number_of(value, "retention_ms");
	struct log_line line;

	if (retention_ms == s->spec.retention_ms)
		return TRUE;
	log_begin(&line, LOG_LEVEL_ERROR, "claim_retention_differs");
	log_int(&line, "setting_ms", s->spec.retention_ms);
	log_int(&line, "in_force_ms", retention_ms);
	log_end(&line);
	return FALSE;
}

static void on_epoch_read(const struct platform_result *result, void *data)
{
	struct claim_sweeper *s = data;
	int64_t now_ms = util_boot_ms();
	enum status status = result->status;
	int64_t version = 0;
	int64_t value = 0;

	s->is_busy = FALSE;
	if (status == STATUS_OK) {
		version = result->rows[0].version;
		value = number_of(result->rows[0].value, "epoch");
		if (!has_retention(s, result->rows[0].value))
			status = STATUS_INVALID;
	}
	claim_epoch_on_read(&s->epoch, status, value, version, s->asked_ms,
			    now_ms);
	if (status == STATUS_OK || status == STATUS_NOT_FOUND) {
		if (claim_epoch_may_advance(&s->epoch, now_ms)) {
			advance(s);
			return;
		}
	} else {
		s->next_ms = util_monotonic_ms() + GAP_MS;
	}
	plan(s);
}

static int64_t epoch_due_ms(const struct claim_sweeper *s)
{
	return s->asked_ms + s->spec.retention_ms / EPOCH_READS;
}

static void read_epoch(struct claim_sweeper *s)
{
	s->is_busy = TRUE;
	s->asked_ms = util_boot_ms();
	platform_read(s->spec.platform, CLAIM_EPOCH_TABLE, CLAIM_EPOCH_KEY,
		      on_epoch_read, s);
}

static gboolean on_due(gpointer data)
{
	struct claim_sweeper *s = data;

	s->timer = 0;
	if (!s->asked_ms || util_boot_ms() >= epoch_due_ms(s))
		read_epoch(s);
	else if (util_monotonic_ms() >= s->next_ms)
		scan(s);
	else
		plan(s);
	return G_SOURCE_REMOVE;
}

/* Nothing is begun while a call or a row is under way. */
static void plan(struct claim_sweeper *s)
{
	int64_t wait_ms;

	if (s->timer || s->is_busy || s->rows->len)
		return;
	wait_ms = MIN(s->next_ms - util_monotonic_ms(),
		      epoch_due_ms(s) - util_boot_ms());
	wait_ms = CLAMP(wait_ms, 1, s->spec.retention_ms);
	s->timer = g_timeout_add((guint)wait_ms, on_due, s);
}

static void add_counters(struct claim_sweeper *s)
{
	const struct {
		struct counter **counter;
		const char *name;
		const char *help;
	} all[] = {
		{ &s->scans, "claim_sweep_scans", "reads of parts of claims" },
		{ &s->scan_bytes, "claim_sweep_bytes",
		  "bytes of the answers to these" },
		{ &s->deleted, "claim_rows_deleted", "old rows deleted" },
		{ &s->adopted, "claim_rows_adopted",
		  "rows without an epoch that were given one" },
		{ &s->held, "claim_rows_held",
		  "old rows kept for a claimant that works or is silent" },
		{ &s->failed, "claim_rows_failed",
		  "rows left for the next pass: conflict or no answer" },
		{ &s->epochs, "claim_epochs", "epochs written" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(all); i++)
		*all[i].counter = counters_counter(s->spec.counters,
						   all[i].name, all[i].help);
}

struct claim_sweeper *claim_sweeper_new(const struct claim_sweeper_spec *spec)
{
	struct claim_sweeper *s = g_new0(struct claim_sweeper, 1);

	s->spec = *spec;
	s->pace.bytes_per_s = CLAIM_SWEEP_BYTES_PER_S;
	s->rows = g_ptr_array_new_with_free_func(sweep_row_free);
	g_queue_init(&s->waiting);
	claim_epoch_init(&s->epoch, spec->retention_ms);
	claim_walk_init(&s->walk, spec->node);
	add_counters(s);
	s->timer = g_timeout_add(0, on_due, s);
	return s;
}

void claim_sweeper_free(struct claim_sweeper *s)
{
	if (s->timer)
		g_source_remove(s->timer);
	platform_forget(s->spec.platform, s);
	g_queue_clear_full(&s->waiting, sweep_row_free);
	g_ptr_array_unref(s->rows);
	g_free(s);
}

const struct claim_epoch *claim_sweeper_epoch(const struct claim_sweeper *s)
{
	return &s->epoch;
}
