#include "store/vm_reader.h"

#include <string.h>

#include "base/log.h"
#include "store/vm_scope.h"

/** Failure domains beyond these are read with the whole list only. */
#define MAX_PARTS 64
#define MAX_LOGGED_FINDINGS 8

struct subscriber {
	vm_reader_fn fn;
	void *data;
};

struct vm_reader {
	struct platform *platform;
	char *failure_domain;
	GPtrArray *parts;    /* of struct part; own, whole, others */
	gboolean has_filter; /* of the platform, as far as is known */
	gboolean has_list;
	struct vm_list list;
	GArray *subscribers; /* of struct subscriber */
	int64_t now_ms;	     /* of the last step */
	GRand *rng;
	struct counter *reads;
	struct counter *bodies;
	struct counter *body_bytes;
	struct counter *unchanged;
	struct counter *changes;
	struct counter *refused;
	struct counter *untold;
	struct counter *skipped;
	struct counter *bad_entries;
};

/* A part of the list and the read of it; the data of the platform's calls. */
struct part {
	struct vm_reader *reader;
	struct vm_scope *scope;
	gboolean is_reading;
	char *problems; /* last logged, "" for none */
};

static struct part *add_part(struct vm_reader *r, enum vm_scope_kind kind,
			     const char *failure_domain)
{
	struct part *p = g_new0(struct part, 1);

	p->reader = r;
	p->scope = vm_scope_new(kind, failure_domain);
	p->problems = g_strdup("");
	g_ptr_array_add(r->parts, p);
	return p;
}

static void part_free(gpointer data)
{
	struct part *p = data;

	platform_forget(p->reader->platform, p);
	vm_scope_free(p->scope);
	g_free(p->problems);
	g_free(p);
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
		{ &r->untold, "cs_vm_list_untold_total",
		  "Changed lists under an ETag that had stayed" },
		{ &r->skipped, "cs_vm_list_skipped_total",
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
	r->parts = g_ptr_array_new_with_free_func(part_free);
	r->subscribers = g_array_new(FALSE, FALSE, sizeof(struct subscriber));
	r->rng = g_rand_new_with_seed(spec->seed);
	r->has_filter = TRUE;
	vm_list_init(&r->list);
	add_counters(r, spec->counters);
	add_part(r, VM_SCOPE_OWN, r->failure_domain);
	add_part(r, VM_SCOPE_WHOLE, NULL);
	return r;
}

void vm_reader_free(struct vm_reader *r)
{
	g_ptr_array_unref(r->parts);
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

/* The part that was read last with a change has a domain's newest VMs. */
static gboolean is_newest_for(const struct vm_reader *r,
			      const struct vm_scope *scope,
			      const char *failure_domain)
{
	const struct vm_scope *newest = NULL;

	for (guint i = 0; i < r->parts->len; i++) {
		const struct part *p = r->parts->pdata[i];

		if (covers(p->scope, failure_domain) &&
		    (!newest || p->scope->list_ms > newest->list_ms))
			newest = p->scope;
	}
	return scope == newest;
}

static void merge_part(struct vm_reader *r, const struct vm_scope *scope,
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
	/* Parts overlap: the one with most bad entries has most of them. */
	into->bad_count = MAX(into->bad_count, scope->list.bad_count);
	if (!scope->failure_domain && scope->list_ms >= 0)
		into->is_whole = TRUE;
}

static void publish(struct vm_reader *r)
{
	struct vm_list list;

	vm_list_init(&list);
	for (guint i = 0; i < r->parts->len; i++)
		merge_part(r, ((struct part *)r->parts->pdata[i])->scope,
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

static gboolean has_part(const struct vm_reader *r, const char *failure_domain)
{
	for (guint i = 0; i < r->parts->len; i++) {
		const struct part *p = r->parts->pdata[i];

		if (g_strcmp0(p->scope->failure_domain, failure_domain) == 0)
			return TRUE;
	}
	return FALSE;
}

/* Each failure domain that is listed becomes a part of its own. */
static void add_others(struct vm_reader *r, const struct vm_list *whole)
{
	for (guint i = 0; i < whole->vms->len; i++) {
		const struct vm_entry *vm = whole->vms->pdata[i];

		struct part *p;

		if (r->parts->len >= MAX_PARTS ||
		    has_part(r, vm->failure_domain))
			continue;
		/* The whole list that it stands in is good for a while. */
		p = add_part(r, VM_SCOPE_OTHER, vm->failure_domain);
		vm_scope_plan(p->scope, r->now_ms, g_rand_double(r->rng));
	}
}

static gboolean is_filtered(const struct vm_scope *s)
{
	for (guint i = 0; i < s->list.vms->len; i++) {
		const struct vm_entry *vm = s->list.vms->pdata[i];

		if (!g_str_equal(vm->failure_domain, s->failure_domain))
			return FALSE;
	}
	return TRUE;
}

/* Without a filter one part is all there is; it ends all parts there were. */
static void do_without_filter(struct vm_reader *r)
{
	struct log_line line;

	log_begin(&line, LOG_LEVEL_WARN, "vm_list_unfiltered");
	log_end(&line);
	r->has_filter = FALSE;
	g_ptr_array_set_size(r->parts, 0);
	add_part(r, VM_SCOPE_OWN, NULL);
}

static char *problems_text(const struct finding_list *findings)
{
	guint count = finding_list_count(findings);
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < MIN(count, MAX_LOGGED_FINDINGS); i++) {
		const struct finding *f = finding_list_get(findings, i);

		g_string_append_printf(text, "%s%s: %s", i ? "; " : "",
				       f->place, f->problem);
	}
	if (count > MAX_LOGGED_FINDINGS)
		g_string_append_printf(text, "; and %u more",
				       count - MAX_LOGGED_FINDINGS);
	return g_string_free(text, FALSE);
}

/* Logs the problems of a part when they differ from the last ones. */
static void log_problems(struct part *p, const char *event,
			 const struct finding_list *findings)
{
	char *text = problems_text(findings);
	struct log_line line;

	if (text[0] && !g_str_equal(text, p->problems)) {
		log_begin(&line, LOG_LEVEL_WARN, event);
		log_str(&line, "failure_domain",
			p->scope->failure_domain ? p->scope->failure_domain
						 : "all");
		log_int(&line, "bad_entries", p->scope->list.bad_count);
		log_str(&line, "findings", text);
		log_end(&line);
	}
	g_free(p->problems);
	p->problems = text;
}

static void log_untold(struct part *p)
{
	struct log_line line;

	counter_add(p->reader->untold, 1);
	log_begin(&line, LOG_LEVEL_WARN, "vm_list_untold");
	log_str(&line, "etag", p->scope->etag);
	log_end(&line);
}

static void on_change(struct part *p, const struct finding_list *findings)
{
	struct vm_reader *r = p->reader;
	struct vm_scope *s = p->scope;

	counter_add(r->changes, 1);
	counter_add(r->skipped, s->list.bad_count);
	log_problems(p, "vm_list_bad_entries", findings);
	if (s->failure_domain && !is_filtered(s)) {
		do_without_filter(r);
		return;
	}
	if (r->has_filter && !s->failure_domain)
		add_others(r, &s->list);
	publish(r);
}

static void on_body(struct part *p, const struct platform_result *result)
{
	struct vm_reader *r = p->reader;
	gsize size = g_bytes_get_size(result->bytes);
	struct finding_list findings;
	enum vm_scope_change change;

	counter_add(r->bodies, 1);
	counter_add(r->body_bytes, (int64_t)size);
	finding_list_init(&findings);
	change =
		vm_scope_take(p->scope, result, &r->list, r->now_ms, &findings);
	vm_scope_plan(p->scope, r->now_ms, g_rand_double(r->rng));
	switch (change) {
	case VM_SCOPE_SAME:
		break;
	case VM_SCOPE_REFUSED:
		counter_add(r->refused, 1);
		log_problems(p, "vm_list_refused", &findings);
		break;
	case VM_SCOPE_CHANGED_UNTOLD:
		log_untold(p);
		on_change(p, &findings);
		break;
	case VM_SCOPE_CHANGED:
		on_change(p, &findings);
		break;
	}
	finding_list_clear(&findings);
}

/* A platform may refuse a parameter that it does not know. */
static gboolean is_filter_refused(const struct part *p, enum status status)
{
	return p->scope->failure_domain && p->scope->list_ms < 0 &&
	       (status == STATUS_INVALID || status == STATUS_NOT_FOUND);
}

static void on_answer(const struct platform_result *result, void *data)
{
	struct part *p = data;
	struct vm_reader *r = p->reader;

	p->is_reading = FALSE;
	if (result->status == STATUS_OK && !result->is_unchanged) {
		on_body(p, result);
		return;
	}
	vm_scope_plan(p->scope, r->now_ms, g_rand_double(r->rng));
	if (result->status == STATUS_OK)
		counter_add(r->unchanged, 1);
	else if (is_filter_refused(p, result->status))
		do_without_filter(r);
}

static void read_part(struct part *p)
{
	struct vm_reader *r = p->reader;
	struct vm_list_query query = {
		.failure_domain = p->scope->failure_domain,
		.etag = vm_scope_etag(p->scope, r->now_ms),
	};

	p->is_reading = TRUE;
	counter_add(r->reads, 1);
	platform_vm_list(r->platform, &query, on_answer, p);
}

void vm_reader_step(struct vm_reader *r, int64_t now_ms)
{
	r->now_ms = now_ms;
	for (guint i = 0; i < r->parts->len; i++) {
		struct part *p = r->parts->pdata[i];

		if (!p->is_reading && now_ms >= p->scope->next_ms)
			read_part(p);
	}
}

/* Reads a part unless its bodies were too many lately. */
static gboolean read_part_ahead(struct part *p)
{
	if (p->is_reading)
		return TRUE;
	if (p->reader->now_ms < p->scope->paced_ms)
		return FALSE;
	read_part(p);
	return TRUE;
}

void vm_reader_read_ahead(struct vm_reader *r)
{
	gboolean is_covered = FALSE;

	for (guint i = 1; i < r->parts->len && !is_covered; i++) {
		struct part *p = r->parts->pdata[i];

		is_covered = read_part_ahead(p) && !p->scope->failure_domain;
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
