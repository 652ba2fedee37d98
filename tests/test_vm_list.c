#include <glib.h>
#include <string.h>

#include "base/util.h"
#include "platform/vm_reader.h"
#include "tests/cluster.h"

/* The size to design for, and the changes of a day (docs/CAPACITY.md). */
#define DOMAINS 10
#define VMS 4300
#define DAY_S 86400
#define CHANGES 274
/** Looked at: a part of a day, with its part of the changes. */
#define SPAN_S 10800
#define SETTLE_S 60
#define HEADER_BYTES 500

#define VM(rest) "{\"service\":\"s\",\"failure_domain\":\"d0\"," rest "}"
#define ENDPOINT(name, rest)                                                  \
	VM("\"vm\":\"" name "\",\"role\":\"endpoint\",\"address\":\"127.0.0." \
	   "1:1\"" rest)

struct decode_case {
	const char *body;
	const char *kept; /* names and states, or NULL when there is no list */
	const char *places; /* of the findings */
	guint bad_count;
};

#define LIST(entries) "{\"vms\":[" entries "]}"

static const struct decode_case decode_cases[] = {
	{ LIST(""), "", "", 0 },
	{ LIST(ENDPOINT("a", "") "," ENDPOINT("b", ",\"state\":\"leaving\"")),
	  "a:0 b:1 ", "", 0 },
	/* Members that are not known yet are passed over. */
	{ LIST(ENDPOINT("a", ",\"zone\":{\"x\":[1]},\"price\":null")), "a:0 ",
	  "", 0 },
	{ "{\"next\":1,\"vms\":[]}", "", "", 0 },
	/* Each of these is left out alone. */
	{ LIST(ENDPOINT("a", ",\"state\":\"dreaming\"") "," ENDPOINT("b", "")),
	  "b:0 ", "vms[0](a).state ", 1 },
	{ LIST(ENDPOINT("b", "") "," VM(
		  "\"vm\":\"a\",\"role\":\"oracle\",\"address\":\"127.0.0.1:1"
		  "\"")),
	  "b:0 ", "vms[1](a).role ", 1 },
	{ LIST(VM("\"vm\":\"a\",\"role\":\"worker\",\"address\":\"here\"")), "",
	  "vms[0](a) ", 1 },
	{ LIST(VM("\"vm\":\"a\",\"role\":\"worker\"")), "",
	  "vms[0](a).address ", 1 },
	{ LIST(ENDPOINT("a", ",\"cores\":-1,\"memory_mb\":1e9")), "",
	  "vms[0](a).cores vms[0](a).memory_mb ", 1 },
	{ LIST(ENDPOINT("a", ",\"cores\":9223372036854775807")), "",
	  "vms[0](a).cores ", 1 },
	{ LIST("null,7,[],{\"vm\":3}," ENDPOINT("", "")), "",
	  "vms[0]() vms[1]() vms[2]() vms[3]().vm vms[3]().role "
	  "vms[3]().service vms[3]().failure_domain vms[3]().address "
	  "vms[4]().vm ",
	  5 },
	/* The first sound entry of a name counts. */
	{ LIST(ENDPOINT("a", ",\"state\":\"x\"") "," ENDPOINT(
		  "a", ",\"state\":\"leaving\"") "," ENDPOINT("a", "")),
	  "a:1 ", "vms[0](a).state vms[2](a) ", 2 },
	/* No list at all. */
	{ "[]", NULL, "vms ", 0 },
	{ "{}", NULL, "vms ", 0 },
	{ "{\"vms\":{}}", NULL, "vms ", 0 },
};

static char *kept_of(const struct vm_list *l)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < l->vms->len; i++) {
		const struct vm_entry *vm = l->vms->pdata[i];

		g_string_append_printf(text, "%s:%d ", vm->vm, (int)vm->state);
		g_assert_true(vm_list_find(l, vm->vm) == vm);
	}
	return g_string_free(text, FALSE);
}

static char *places_of(const struct finding_list *findings)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < finding_list_count(findings); i++)
		g_string_append_printf(text, "%s ",
				       finding_list_get(findings, i)->place);
	return g_string_free(text, FALSE);
}

static void test_decode(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(decode_cases); i++) {
		const struct decode_case *c = &decode_cases[i];
		json_object *body = json_tokener_parse(c->body);
		struct finding_list findings;
		struct vm_list list;
		char *kept;
		char *places;

		g_test_message("case %u", i);
		g_assert_nonnull(body);
		finding_list_init(&findings);
		vm_list_init(&list);
		g_assert_cmpint(vm_list_decode(&list, body, &findings), ==,
				c->kept != NULL);
		kept = kept_of(&list);
		places = places_of(&findings);
		g_assert_cmpstr(kept, ==, c->kept ? c->kept : "");
		g_assert_cmpstr(places, ==, c->places);
		g_assert_cmpuint(list.bad_count, ==, c->bad_count);
		g_free(kept);
		g_free(places);
		vm_list_clear(&list);
		finding_list_clear(&findings);
		json_object_put(body);
	}
}

/* How a platform keeps to what is asked of it. */
struct manner {
	gboolean has_etag;
	gboolean has_filter;
	gboolean refuses_filter; /* 400 to a parameter that it does not know */
	gboolean is_stuck;	 /* one ETag for ever */
	gboolean flips;		 /* replicas of differing age, in turn */
};

struct list_call {
	char *domain; /* NULL for all */
	char *etag;
	platform_fn fn;
	void *data;
};

/* A platform in virtual time: VM i is in the domain i % DOMAINS. */
struct fake {
	struct platform base;
	const struct manner *manner;
	guint vms;
	guint8 *is_leaving;
	guint64 versions[DOMAINS + 1]; /* the last is of all */
	GPtrArray *calls;	       /* of struct list_call, to be answered */
	guint64 reads;
	guint64 bytes;
	guint changes;
	const char *body; /* answered in place of a list, or NULL */
	gboolean is_odd;
};

static void list_call_free(gpointer data)
{
	struct list_call *c = data;

	g_free(c->domain);
	g_free(c->etag);
	g_free(c);
}

static void fake_vm_list(struct platform *base,
			 const struct vm_list_query *query, platform_fn fn,
			 void *data)
{
	struct fake *f = (struct fake *)base;
	struct list_call *c = g_new0(struct list_call, 1);

	c->domain = g_strdup(query->failure_domain);
	c->etag = g_strdup(query->etag);
	c->fn = fn;
	c->data = data;
	g_ptr_array_add(f->calls, c);
}

static void fake_forget(struct platform *base, const void *data)
{
	struct fake *f = (struct fake *)base;

	for (guint i = 0; i < f->calls->len; i++) {
		struct list_call *c = f->calls->pdata[i];

		if (c->data == data)
			c->fn = NULL;
	}
}

static const struct platform_class fake_class = {
	.name = "fake",
	.vm_list = fake_vm_list,
	.forget = fake_forget,
};

static void fake_init(struct fake *f, const struct manner *m, guint vms)
{
	memset(f, 0, sizeof(*f));
	f->base.class = &fake_class;
	f->manner = m;
	f->vms = vms;
	f->is_leaving = g_new0(guint8, vms);
	f->calls = g_ptr_array_new_with_free_func(list_call_free);
}

static void fake_clear(struct fake *f)
{
	g_ptr_array_unref(f->calls);
	g_free(f->is_leaving);
}

static void fake_change(struct fake *f, guint vm)
{
	f->is_leaving[vm] = !f->is_leaving[vm];
	f->versions[vm % DOMAINS]++;
	f->versions[DOMAINS]++;
}

static char *fake_text(const struct fake *f, int domain)
{
	GString *text = g_string_new("{\"vms\":[");

	for (guint i = 0; i < f->vms; i++) {
		gboolean is_leaving = f->is_leaving[i] || (f->is_odd && i == 0);

		if (domain != DOMAINS && domain != (int)(i % DOMAINS))
			continue;
		g_string_append_printf(
			text,
			"%s{\"vm\":\"vm-%06u\",\"role\":\"worker\",\"service\":"
			"\"salkhi\",\"failure_domain\":\"d%u\",\"rack\":\"rack-"
			"%04u\",\"state\":\"%s\",\"address\":\"10.1.%u.%u:7301"
			"\",\"accelerators\":8,\"cores\":64,\"memory_mb\":"
			"131072}",
			text->str[text->len - 1] == '[' ? "" : ",", i,
			i % DOMAINS, i / 40, is_leaving ? "leaving" : "live",
			i / 256, i % 256);
	}
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void answer_body(struct fake *f, const struct list_call *c, int domain,
			const char *etag)
{
	char *text = f->body ? g_strdup(f->body) : fake_text(f, domain);
	json_object *body = json_tokener_parse(text);
	struct platform_result result = {
		.status = STATUS_OK, .object = body, .text = text, .etag = etag
	};

	f->bytes += strlen(text);
	c->fn(&result, c->data);
	json_object_put(body);
	g_free(text);
}

static void answer(struct fake *f, const struct list_call *c)
{
	const struct manner *m = f->manner;
	struct platform_result unchanged = { .status = STATUS_OK,
					     .is_unchanged = TRUE };
	struct platform_result refused = { .status = STATUS_INVALID };
	int domain = DOMAINS;
	char *etag = NULL;

	f->reads++;
	f->bytes += HEADER_BYTES;
	f->is_odd = m->flips && f->reads % 2;
	if (c->domain && m->has_filter)
		domain = c->domain[1] - '0';
	if (m->is_stuck)
		etag = g_strdup("\"1\"");
	else if (m->has_etag)
		etag = g_strdup_printf("\"%" G_GUINT64_FORMAT "-%d\"",
				       f->versions[domain], f->is_odd);
	if (c->domain && m->refuses_filter)
		c->fn(&refused, c->data);
	else if (etag && g_strcmp0(etag, c->etag) == 0)
		c->fn(&unchanged, c->data);
	else
		answer_body(f, c, domain, etag);
	g_free(etag);
}

/* One second of the reader, with all its calls answered. */
static void pass_second(struct fake *f, struct vm_reader *r, int64_t now_ms)
{
	vm_reader_step(r, now_ms);
	while (f->calls->len > 0) {
		struct list_call *c = g_ptr_array_steal_index(f->calls, 0);

		if (c->fn)
			answer(f, c);
		list_call_free(c);
	}
}

static gboolean shows(const struct vm_reader *r, const struct fake *f, guint vm)
{
	const struct vm_list *l = vm_reader_list(r);
	char *name = g_strdup_printf("vm-%06u", vm);
	const struct vm_entry *e = l ? vm_list_find(l, name) : NULL;

	g_free(name);
	return e && e->state == (f->is_leaving[vm] ? VM_LEAVING : VM_LIVE);
}

/*
 * Bounds: of the 24 KB/s of an entry VM, whose two processes read, a tenth for
 * each; a third where the platform lacks something. 3 s for the own domain.
 */
struct span_case {
	const char *path;
	guint vms;
	struct manner manner;
	guint64 max_bytes_per_s;
	int64_t max_own_s;   /* until a change of the own domain shows */
	int64_t max_other_s; /* and of another one */
};

#define FULL_BYTES_PER_S 2400
#define LACK_BYTES_PER_S 8000

static const struct span_case span_cases[] = {
	{ "/vm-list/span/full",
	  VMS,
	  { .has_etag = TRUE, .has_filter = TRUE },
	  FULL_BYTES_PER_S,
	  3,
	  60 },
	{ "/vm-list/span/etag-only",
	  VMS,
	  { .has_etag = TRUE },
	  LACK_BYTES_PER_S,
	  300,
	  300 },
	{ "/vm-list/span/filter-refused",
	  VMS / 5,
	  { .has_etag = TRUE, .refuses_filter = TRUE },
	  LACK_BYTES_PER_S,
	  3,
	  3 },
	{ "/vm-list/span/filter-only",
	  VMS / 5,
	  { .has_filter = TRUE },
	  LACK_BYTES_PER_S,
	  60,
	  600 },
	{ "/vm-list/span/neither", VMS / 5, { 0 }, LACK_BYTES_PER_S, 300, 300 },
	{ "/vm-list/span/stuck",
	  VMS / 5,
	  { .has_etag = TRUE, .has_filter = TRUE, .is_stuck = TRUE },
	  LACK_BYTES_PER_S,
	  3600,
	  3600 },
	{ "/vm-list/span/backwards",
	  VMS / 5,
	  { .has_etag = TRUE, .has_filter = TRUE, .flips = TRUE },
	  LACK_BYTES_PER_S,
	  60,
	  600 },
};

/* A change to be seen, and when it was made. */
struct change {
	guint vm;
	int64_t at_s;
};

/* Drops the changes that show by now; keeps the longest time of any. */
static void follow(const struct vm_reader *r, const struct fake *f,
		   GArray *open, int64_t now_s, int64_t *worst_s)
{
	for (guint i = open->len; i > 0; i--) {
		const struct change *c =
			&g_array_index(open, struct change, i - 1);
		int64_t *worst = &worst_s[c->vm % DOMAINS != 0];

		*worst = MAX(*worst, now_s - c->at_s);
		if (shows(r, f, c->vm))
			g_array_remove_index_fast(open, i - 1);
	}
}

/* Makes a change now and then; VM 0 is the one that flips. */
static void maybe_change(struct fake *f, GRand *rng, GArray *open,
			 int64_t now_s)
{
	struct change c = { 1 + (guint)g_rand_int_range(rng, 0, f->vms - 1),
			    now_s };

	if (now_s < SETTLE_S || g_rand_int_range(rng, 0, DAY_S) >= CHANGES)
		return;
	/* More of the own domain's than its part, so that it is seen. */
	if (f->changes % 3 == 0 && c.vm > DOMAINS)
		c.vm -= c.vm % DOMAINS;
	fake_change(f, c.vm);
	g_array_append_val(open, c);
	f->changes++;
}

static void check_span(const struct span_case *c, const struct fake *f,
		       struct counters *counters, const int64_t *worst_s)
{
	int64_t changes =
		counters_counter(counters, "cs_vm_list_changes_total", "")
			->value;
	int64_t untold =
		counters_counter(counters, "cs_vm_list_untold_total", "")
			->value;

	g_test_message("%u changes, %" G_GUINT64_FORMAT
		       " bytes/s, %.2f reads/s, %d lists, own %d s, others "
		       "%d s",
		       f->changes, f->bytes / SPAN_S, (double)f->reads / SPAN_S,
		       (int)changes, (int)worst_s[0], (int)worst_s[1]);
	g_assert_cmpuint(f->bytes / SPAN_S, <=, c->max_bytes_per_s);
	g_assert_cmpint(worst_s[0], <=, c->max_own_s);
	g_assert_cmpint(worst_s[1], <=, c->max_other_s);
	g_assert_cmpint(untold > 0, ==, c->manner.is_stuck);
	/* What stayed the same is not taken over, ETag or not. */
	if (!c->manner.flips)
		g_assert_cmpint(changes, <=, DOMAINS + 1 + 2 * f->changes);
}

static void test_span(gconstpointer data)
{
	const struct span_case *c = data;
	struct counters counters;
	struct fake f;
	struct vm_reader_spec spec = { &f.base, "d0", &counters, 7 };
	struct vm_reader *r;
	GRand *rng = g_rand_new_with_seed(11);
	GArray *open = g_array_new(FALSE, FALSE, sizeof(struct change));
	int64_t worst_s[2] = { 0, 0 };

	counters_init(&counters);
	fake_init(&f, &c->manner, c->vms);
	r = vm_reader_new(&spec);
	for (int64_t s = 0; s < SPAN_S; s++) {
		maybe_change(&f, rng, open, s);
		pass_second(&f, r, s * MS_PER_S);
		follow(r, &f, open, s, worst_s);
	}
	check_span(c, &f, &counters, worst_s);
	g_assert_cmpuint(vm_reader_list(r)->vms->len, ==, c->vms);
	g_array_unref(open);
	g_rand_free(rng);
	vm_reader_free(r);
	fake_clear(&f);
	counters_clear(&counters);
}

/* A body without any list, or no answer: the last list stays in force. */
static void test_refused(void)
{
	const struct manner manner = { .has_etag = TRUE, .has_filter = TRUE };
	struct counters counters;
	struct fake f;
	struct vm_reader_spec spec = { &f.base, "d0", &counters, 7 };
	struct vm_reader *r;

	counters_init(&counters);
	fake_init(&f, &manner, DOMAINS);
	r = vm_reader_new(&spec);
	g_assert_null(vm_reader_list(r));
	pass_second(&f, r, 0);
	fake_change(&f, 0);
	f.body = "{\"vms\":3}";
	pass_second(&f, r, 1000);
	g_assert_cmpuint(vm_reader_list(r)->vms->len, ==, DOMAINS);
	g_assert_false(shows(r, &f, 0));
	g_assert_cmpint(
		counters_counter(&counters, "cs_vm_list_refused_total", "")
			->value,
		==, 1);
	f.body = NULL;
	pass_second(&f, r, 2000);
	g_assert_true(shows(r, &f, 0));
	vm_reader_step(r, 3000);
	vm_reader_free(r); /* with a call in flight */
	fake_clear(&f);
	counters_clear(&counters);
}

/* Counts of the platform's stand-in. */
static int64_t count_of(struct cluster *c, const char *platform,
			const char *name)
{
	struct cluster_reply r =
		cluster_call(c, "GET", platform, "/control/writes", NULL, NULL,
			     CLUSTER_CALL_TIMEOUT_MS);
	int64_t count =
		json_object_get_int64(json_object_object_get(r.body, name));

	cluster_reply_clear(&r);
	return count;
}

struct awaited {
	struct cluster *cluster;
	const char *platform;
	const char *name;
	int64_t count;
};

static gboolean has_counted(void *data)
{
	const struct awaited *a = data;

	return count_of(a->cluster, a->platform, a->name) >= a->count;
}

static void await_count(struct cluster *c, const char *platform,
			const char *name, int64_t count)
{
	struct awaited a = { c, platform, name, count };

	g_assert_true(cluster_wait(has_counted, &a, 20000));
}

#define TWO_VMS                                                                \
	"{\"add_vms\":[" ENDPOINT("a",                                         \
				  "") ",{\"vm\":\"b\",\"role\":"               \
				      "\"endpoint\",\"service\":\"s\","        \
				      "\"failure_domain\":\"d1\",\"address\":" \
				      "\"127.0.0.1:2\"}]}"
#define OWN_CHANGE "{\"add_vms\":[" ENDPOINT("a", ",\"state\":\"leaving\"") "]}"

/* A real process asks on and gets a body only for a change: one for each part
 * that it touches (own domain, all), and none for the other domain's. */
static void test_bodies(void)
{
	struct cluster *c = cluster_new();
	char *platform = cluster_address();
	char *http = cluster_address();
	char *link = cluster_address();
	struct cluster_node node = { .node = "g0",
				     .http = http,
				     .link = link,
				     .platform = platform,
				     .failure_domain = "d0" };
	struct cluster_process *p =
		cluster_spawn(c, "cs-standin-platform", "platform",
			      CLUSTER_ARGS("--listen", platform));
	int64_t reads;

	g_free(cluster_listening(p, 0));
	cluster_control(c, platform, TWO_VMS);
	cluster_spawn_node(c, "csgated", &node);
	await_count(c, platform, "vm_bodies", 3);
	reads = count_of(c, platform, "vm_reads");
	await_count(c, platform, "vm_reads", reads + 8);
	g_assert_cmpint(count_of(c, platform, "vm_bodies"), ==, 3);
	cluster_control(c, platform, OWN_CHANGE);
	await_count(c, platform, "vm_bodies", 5);
	reads = count_of(c, platform, "vm_reads");
	await_count(c, platform, "vm_reads", reads + 8);
	g_assert_cmpint(count_of(c, platform, "vm_bodies"), ==, 5);
	cluster_free(c);
	g_free(platform);
	g_free(http);
	g_free(link);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/vm-list/decode", test_decode);
	for (guint i = 0; i < G_N_ELEMENTS(span_cases); i++)
		g_test_add_data_func(span_cases[i].path, &span_cases[i],
				     test_span);
	g_test_add_func("/vm-list/refused", test_refused);
	g_test_add_func("/vm-list/bodies", test_bodies);
	return g_test_run();
}
