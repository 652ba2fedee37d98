#include "store/vm_reader.h"

#include <string.h>

#include "base/log.h"
#include "store/vm_scope.h"

/* Further failure domains are read only as part of the whole list. */
#define MAX_SCOPES 64
#define MAX_LOGGED_FINDINGS 8

struct subscriber {
	vm_reader_fn fn;
	void *data;
};

struct vm_reader {
	struct platform *platform;
	char *failure_domain;
	GPtrArray *scope_readers; /* own domain, whole list, other domains */
	/* TRUE until the platform ignores or rejects the failure domain filter
	 */
	gboolean has_filter;
	gboolean has_list;
	struct vm_list list; /* merged from all scopes */
	GArray *subscribers; /* of struct subscriber */
	int64_t now_ms;	     /* time of the last step */
	GRand *rng;
	struct counter *reads;
	struct counter *bodies;
	struct counter *body_bytes;
	struct counter *unchanged;
	struct counter *changes;
	struct counter *refused;
	struct counter *etag_reuses;
	struct counter *skipped_entries;
	struct counter *bad_entries;
};

/* A scope of the list and its reads; the data of the platform calls. */
struct scope_reader {
	struct vm_reader *reader;
	struct vm_scope *scope;
	gboolean is_reading;
	char *logged_problems; /* findings of the last list, "" for none */
};

static struct scope_reader *add_scope(struct vm_reader *r,
				      enum vm_scope_kind kind,
				      const char *failure_domain)
{
	struct scope_reader *sr = g_new0(struct scope_reader, 1);

	sr->reader = r;
	sr->scope = vm_scope_new(kind, failure_domain);
	sr->logged_problems = g_strdup("");
	g_ptr_array_add(r->scope_readers, sr);
	return sr;
}

static void scope_reader_free(gpointer data)
{
	struct scope_reader *sr = data;

	platform_forget(sr->reader->platform, sr);
	vm_scope_free(sr->scope);
	g_free(sr->logged_problems);
	g_free(sr);
}

static void add_counters(struct vm_reader *r, struct counters *c)
{
	const struct {
		struct counter **counter;
		const char *name;
		const char *help;
	} all[] = {
		{ &r->reads, "cs_vm_list_reads_total",
		  "Reads of the platform's VM list" },
		{ &r->bodies, "cs_vm_list_bodies_total",
		  "Reads that were answered with a list" },
		{ &r->body_bytes, "cs_vm_list_body_bytes_total",
		  "Bytes of these lists" },
		{ &r->unchanged, "cs_vm_list_unchanged_total",
		  "Reads that were answered as not modified" },
		{ &r->changes, "cs_vm_list_changes_total",
		  "Lists that differed from the one held" },
		{ &r->refused, "cs_vm_list_refused_total",
		  "Bodies without any list in them" },
		{ &r->etag_reuses, "cs_vm_list_untold_total",
		  "Changed lists under an ETag that had stayed" },
		{ &r->skipped_entries, "cs_vm_list_skipped_total",
		  "Entries left out, counted at each changed list" },
	};

	for (guint i = 0; i < G_N_ELEMENTS(all); i++)
		*all[i].counter = counters_counter(c, all[i].name, all[i].help);
	r->bad_entries =
		counters_gauge(c, "cs_vm_list_bad_entries",
			       "Entries left out of the list in force");
}

struct vm_reader *vm_reader_new(const struct vm_reader_spec *spec)
{
	struct vm_reader *r = g_new0(struct vm_reader, 1);

	r->platform = spec->platform;
	r->failure_domain = g_strdup(spec->failure_domain);
	r->scope_readers = g_ptr_array_new_with_free_func(scope_reader_free);
	r->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	r->rng = g_rand_new_with_seed(spec->seed);
	r->has_filter = TRUE;
	vm_list_init(&r->list);
	add_counters(r, spec->counters);
	add_scope(r, VM_SCOPE_OWN, r->failure_domain);
	add_scope(r, VM_SCOPE_WHOLE, NULL);
	return r;
}

void vm_reader_free(struct vm_reader *r)
{
	g_ptr_array_unref(r->scope_readers);
	vm_list_clear(&r->list);
	g_array_unref(r->subscribers);
	g_rand_free(r->rng);
	g_free(r->failure_domain);
	g_free(r);
}

static gboolean covers(const struct vm_scope *s, const char *failure_domain)
{
	return s->list_ms >= 0 &&
	       (!s->failure_domain ||
		g_str_equal(s->failure_domain, failure_domain));
}

/*
 * Returns TRUE if the scope has the newest list of a failure domain's VMs: the
 * one that changed last.
 */
static gboolean is_newest_for(const struct vm_reader *r,
			      const struct vm_scope *scope,
			      const char *failure_domain)
{
	const struct vm_scope *newest = NULL;

	for (guint i = 0; i < r->scope_readers->len; i++) {
		const struct scope_reader *sr = r->scope_readers->pdata[i];

		if (covers(sr->scope, failure_domain) &&
		    (!newest || sr->scope->list_ms > newest->list_ms))
			newest = sr->scope;
	}
	return scope == newest;
}

static void merge_scope(struct vm_reader *r, const struct vm_scope *scope,
			struct vm_list *into)
{
	GHashTableIter iter;
	gpointer name;

	for (guint i = 0; i < scope->list.vms->len; i++) {
		struct vm_entry *vm = scope->list.vms->pdata[i];

		if (is_newest_for(r, scope, vm->failure_domain))
			vm_list_add(into, vm);
	}
	g_hash_table_iter_init(&iter, scope->list.bad_names);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		g_hash_table_add(into->bad_names, g_strdup(name));
	/* Scopes overlap, so the counts can't be added up: use the largest. */
	into->bad_count = MAX(into->bad_count, scope->list.bad_count);
	if (!scope->failure_domain && scope->list_ms >= 0)
		into->is_whole = TRUE;
}

static void publish(struct vm_reader *r)
{
	struct vm_list list;

	vm_list_init(&list);
	for (guint i = 0; i < r->scope_readers->len; i++)
		merge_scope(r,
			    ((struct scope_reader *)r->scope_readers->pdata[i])
				    ->scope,
			    &list);
	vm_list_clear(&r->list);
	r->list = list;
	r->has_list = TRUE;
	counter_set(r->bad_entries, r->list.bad_count);
	for (guint i = 0; i < r->subscribers->len; i++) {
		const struct subscriber *sub =
			&g_array_index(r->subscribers, struct subscriber, i);

		sub->fn(&r->list, sub->data);
	}
}

static gboolean has_scope(const struct vm_reader *r, const char *failure_domain)
{
	for (guint i = 0; i < r->scope_readers->len; i++) {
		const struct scope_reader *sr = r->scope_readers->pdata[i];

		if (g_strcmp0(sr->scope->failure_domain, failure_domain) == 0)
			return TRUE;
	}
	return FALSE;
}

/* Adds a scope for each listed failure domain that has none. */
static void add_other_domains(struct vm_reader *r, const struct vm_list *whole)
{
	for (guint i = 0; i < whole->vms->len; i++) {
		const struct vm_entry *vm = whole->vms->pdata[i];

		struct scope_reader *sr;

		if (r->scope_readers->len >= MAX_SCOPES ||
		    has_scope(r, vm->failure_domain))
			continue;
		/* Not due yet: its VMs have just been read with all others. */
		sr = add_scope(r, VM_SCOPE_OTHER, vm->failure_domain);
		vm_scope_schedule_next(sr->scope, r->now_ms,
				       g_rand_double(r->rng));
	}
}

static gboolean is_filter_applied(const struct vm_scope *s)
{
	for (guint i = 0; i < s->list.vms->len; i++) {
		const struct vm_entry *vm = s->list.vms->pdata[i];

		if (!g_str_equal(vm->failure_domain, s->failure_domain))
			return FALSE;
	}
	return TRUE;
}

/*
 * Falls back to reading the whole list only. Frees all scope readers, the
 * caller's included.
 */
static void disable_filter(struct vm_reader *r)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "vm_list_unfiltered");
	log_end(&line);
	r->has_filter = FALSE;
	g_ptr_array_set_size(r->scope_readers, 0);
	add_scope(r, VM_SCOPE_OWN, NULL);
}

static char *findings_text(const struct finding_list *findings)
{
	guint count = finding_list_count(findings);
	guint shown = MIN(finding_list_kept(findings), MAX_LOGGED_FINDINGS);
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < shown; i++) {
		const struct finding *f = finding_list_get(findings, i);

		g_string_append_printf(text, "%s%s: %s", i ? "; " : "",
				       f->place, f->problem);
	}
	if (count > shown)
		g_string_append_printf(text, "; and %u more", count - shown);
	return g_string_free(text, FALSE);
}

/* Logs the findings of a scope if they differ from the last ones. */
static void log_problems(struct scope_reader *sr, const char *event,
			 const struct finding_list *findings)
{
	char *text = findings_text(findings);
	struct log_line line;

	if (text[0] && !g_str_equal(text, sr->logged_problems)) {
		log_begin(&line, LOG_LEVEL_WARN, event);
		log_str(&line, "failure_domain",
			sr->scope->failure_domain ? sr->scope->failure_domain
						  : "all");
		log_int(&line, "bad_entries", sr->scope->list.bad_count);
		log_str(&line, "findings", text);
		log_end(&line);
	}
	g_free(sr->logged_problems);
	sr->logged_problems = text;
}

static void log_etag_reuse(struct scope_reader *sr)
{
	struct log_line line;

	counter_add(sr->reader->etag_reuses, 1);
	log_begin(&line, LOG_LEVEL_WARN, "vm_list_untold");
	log_str(&line, "etag", sr->scope->etag);
	log_end(&line);
}

static void on_change(struct scope_reader *sr,
		      const struct finding_list *findings)
{
	struct vm_reader *r = sr->reader;
	struct vm_scope *s = sr->scope;

	counter_add(r->changes, 1);
	counter_add(r->skipped_entries, s->list.bad_count);
	log_problems(sr, "vm_list_bad_entries", findings);
	if (s->failure_domain && !is_filter_applied(s)) {
		disable_filter(r);
		return;
	}
	if (r->has_filter && !s->failure_domain)
		add_other_domains(r, &s->list);
	publish(r);
}

static void on_body(struct scope_reader *sr,
		    const struct platform_result *result)
{
	struct vm_reader *r = sr->reader;
	gsize size = g_bytes_get_size(result->bytes);
	struct finding_list findings;
	enum vm_scope_change change;

	counter_add(r->bodies, 1);
	counter_add(r->body_bytes, (int64_t)size);
	finding_list_init(&findings);
	change = vm_scope_update(sr->scope, result, &r->list, r->now_ms,
				 &findings);
	vm_scope_schedule_next(sr->scope, r->now_ms, g_rand_double(r->rng));
	switch (change) {
	case VM_SCOPE_UNCHANGED:
		break;
	case VM_SCOPE_INVALID:
		counter_add(r->refused, 1);
		log_problems(sr, "vm_list_refused", &findings);
		break;
	case VM_SCOPE_CHANGED_SAME_ETAG:
		log_etag_reuse(sr);
		on_change(sr, &findings);
		break;
	case VM_SCOPE_CHANGED:
		on_change(sr, &findings);
		break;
	}
	finding_list_clear(&findings);
}

/* A platform without filtering may reject the query parameter. */
static gboolean is_filter_refused(const struct scope_reader *sr,
				  enum status status)
{
	return sr->scope->failure_domain && sr->scope->list_ms < 0 &&
	       (status == STATUS_INVALID || status == STATUS_NOT_FOUND);
}

static void on_answer(const struct platform_result *result, void *data)
{
	struct scope_reader *sr = data;
	struct vm_reader *r = sr->reader;

	sr->is_reading = FALSE;
	if (result->status == STATUS_OK && !result->is_unchanged) {
		on_body(sr, result);
		return;
	}
	vm_scope_schedule_next(sr->scope, r->now_ms, g_rand_double(r->rng));
	if (result->status == STATUS_OK)
		counter_add(r->unchanged, 1);
	else if (is_filter_refused(sr, result->status))
		disable_filter(r);
}

static void start_read(struct scope_reader *sr)
{
	struct vm_reader *r = sr->reader;
	struct vm_list_query query = {
		.failure_domain = sr->scope->failure_domain,
		.etag = vm_scope_etag(sr->scope, r->now_ms),
	};

	sr->is_reading = TRUE;
	counter_add(r->reads, 1);
	platform_vm_list(r->platform, &query, on_answer, sr);
}

void vm_reader_step(struct vm_reader *r, int64_t now_ms)
{
	r->now_ms = now_ms;
	for (guint i = 0; i < r->scope_readers->len; i++) {
		struct scope_reader *sr = r->scope_readers->pdata[i];

		if (!sr->is_reading && now_ms >= sr->scope->next_ms)
			start_read(sr);
	}
}

/* Reads a scope now; returns FALSE if that would exceed its byte rate. */
static gboolean start_early_read(struct scope_reader *sr)
{
	if (sr->is_reading)
		return TRUE;
	if (sr->reader->now_ms < sr->scope->earliest_ms)
		return FALSE;
	start_read(sr);
	return TRUE;
}

void vm_reader_read_ahead(struct vm_reader *r)
{
	gboolean is_whole_read = FALSE;

	for (guint i = 1; i < r->scope_readers->len && !is_whole_read; i++) {
		struct scope_reader *sr = r->scope_readers->pdata[i];

		is_whole_read =
			start_early_read(sr) && !sr->scope->failure_domain;
	}
}

const struct vm_list *vm_reader_list(const struct vm_reader *r)
{
	return r->has_list ? &r->list : NULL;
}

void vm_reader_subscribe(struct vm_reader *r, vm_reader_fn fn, void *data)
{
	struct subscriber sub = { fn, data };

	g_array_append_val(r->subscribers, sub);
}
