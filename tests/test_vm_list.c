#include <glib.h>
#include <malloc.h>
#include <string.h>

#include "base/util.h"
#include "store/vm_reader.h"
#include "tests/cluster.h"
#include "tests/fake_vms.h"

/* Number of VMs to support, and of changes in a day (docs/CAPACITY.md). */
#define VMS 4300
#define DAY_S 86400
#define CHANGES_PER_DAY 274
/** Simulated part of a day, with its part of the changes. */
#define SPAN_S 10800
/** Time for the first reads, without changes. */
#define SETTLE_S 60

#define VM(rest) "{\"service\":\"s\",\"failure_domain\":\"d0\"," rest "}"
#define ENDPOINT(name, rest)                                                  \
	VM("\"vm\":\"" name "\",\"role\":\"endpoint\",\"address\":\"127.0.0." \
	   "1:1\"" rest)

struct decode_case {
	const char *body;
	const char *vms;    /* "NAME:STATE " of each VM, NULL for no list */
	const char *places; /* of the findings */
	guint bad_count;
};

#define LIST(entries) "{\"vms\":[" entries "]}"

static const struct decode_case decode_cases[] = {
	{ LIST(""), "", "", 0 },
	{ LIST(ENDPOINT("a", "") "," ENDPOINT("b", ",\"state\":\"leaving\"")),
	  "a:0 b:1 ", "", 0 },
	/* Unknown members are ignored. */
	{ LIST(ENDPOINT("a", ",\"zone\":{\"x\":[1]},\"price\":null")), "a:0 ",
	  "", 0 },
	{ "{\"next\":1,\"vms\":[]}", "", "", 0 },
	/* An invalid entry is skipped, the others are kept. */
	{ LIST(ENDPOINT("a", ",\"state\":\"dreaming\"") "," ENDPOINT("b", "")),
	  "b:0 ", "vms(a).state ", 1 },
	{ LIST(ENDPOINT("b", "") "," VM(
		  "\"vm\":\"a\",\"role\":\"oracle\",\"address\":\"127.0.0.1:1"
		  "\"")),
	  "b:0 ", "vms(a).role ", 1 },
	{ LIST(VM("\"vm\":\"a\",\"role\":\"worker\",\"address\":\"here\"")), "",
	  "vms(a) ", 1 },
	{ LIST(VM("\"vm\":\"a\",\"role\":\"worker\"")), "", "vms(a).address ",
	  1 },
	{ LIST(ENDPOINT("a", ",\"cores\":-1,\"memory_mb\":1e9")), "",
	  "vms(a).cores vms(a).memory_mb ", 1 },
	{ LIST(ENDPOINT("a", ",\"cores\":9223372036854775807")), "",
	  "vms(a).cores ", 1 },
	{ LIST("null,7,[],{\"vm\":3}," ENDPOINT("", "")), "",
	  "vms[0] vms[1] vms[2] vms[3].vm vms[3].role "
	  "vms[3].service vms[3].failure_domain vms[3].address "
	  "vms[4].vm ",
	  5 },
	/* The first valid entry of a name is kept. */
	{ LIST(ENDPOINT("a", ",\"state\":\"x\"") "," ENDPOINT(
		  "a", ",\"state\":\"leaving\"") "," ENDPOINT("a", "")),
	  "a:1 ", "vms(a).state vms(a) ", 2 },
	/* Bodies without a list. */
	{ "[]", NULL, "vms ", 0 },
	{ "{}", NULL, "vms ", 0 },
	{ "{\"vms\":{}}", NULL, "vms ", 0 },
};

static char *format_vms(const struct vm_list *l)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < l->vms->len; i++) {
		const struct vm_entry *vm = l->vms->pdata[i];

		g_string_append_printf(text, "%s:%d ", vm->vm, (int)vm->state);
		g_assert_true(vm_list_find(l, vm->vm) == vm);
	}
	return g_string_free(text, FALSE);
}

static char *format_places(const struct finding_list *findings)
{
	GString *text = g_string_new(NULL);

	for (guint i = 0; i < finding_list_kept(findings); i++)
		g_string_append_printf(text, "%s ",
				       finding_list_get(findings, i)->place);
	return g_string_free(text, FALSE);
}

static gboolean decode_parsed(struct vm_list *l, const char *text,
			      struct finding_list *findings)
{
	json_object *body = json_tokener_parse(text);
	gboolean is_list;

	g_assert_nonnull(body);
	is_list = vm_list_decode(l, body, findings);
	json_object_put(body);
	return is_list;
}

static gboolean decode_bytes(struct vm_list *l, const char *text,
			     struct finding_list *findings)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	gboolean is_list = vm_list_decode_bytes(l, body, findings);

	g_bytes_unref(body);
	return is_list;
}

typedef gboolean (*decode_fn)(struct vm_list *l, const char *text,
			      struct finding_list *findings);

static void check_decode(const struct decode_case *c, decode_fn decode)
{
	struct finding_list findings;
	struct vm_list list;
	char *vms;
	char *places;

	g_test_message("%s", c->body);
	finding_list_init(&findings);
	vm_list_init(&list);
	g_assert_cmpint(decode(&list, c->body, &findings), ==, c->vms != NULL);
	vms = format_vms(&list);
	places = format_places(&findings);
	g_assert_cmpstr(vms, ==, c->vms ? c->vms : "");
	g_assert_cmpstr(places, ==, c->places);
	g_assert_cmpuint(list.bad_count, ==, c->bad_count);
	g_free(vms);
	g_free(places);
	vm_list_clear(&list);
	finding_list_clear(&findings);
}

static void test_decode(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(decode_cases); i++) {
		check_decode(&decode_cases[i], decode_parsed);
		check_decode(&decode_cases[i], decode_bytes);
	}
}

/* Bodies that are rejected as a whole, and the place of the last finding. */
static const struct {
	const char *body;
	const char *places;
} malformed_cases[] = {
	{ "", "byte 0 " },
	{ "{\"vms\":[", "byte 8 " },
	{ "{\"vms\":[]", "byte 9 " },
	{ "{\"vms\":[{\"vm\":\"a\"", "byte 8 " },
	{ LIST(ENDPOINT("a", "")) " x", "byte 99 " },
	{ "{\"vms\":[7,]}", "byte 10 " },
	{ "{\"vms\":[7 8]}", "byte 10 " },
	{ "{\"vms\":[],}", "byte 10 " },
	{ "{\"vms\" []}", "byte 7 " },
	{ "{vms:[]}", "byte 1 " },
	{ "{\"vms\":[],\"vms\":[]}", "byte 16 " },
	{ "{/**/\"vms\":[]}", "byte 1 " },
	{ "{\"vms\":[\"\xff\"]}", "byte 8 " },
	{ "{\"vms\":[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]}", "byte 8 " },
	{ "7", "byte 0 " },
	{ "{\"x\":{\"vms\":[]}}", "vms " },
};

static void test_malformed(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(malformed_cases); i++) {
		struct finding_list findings;
		struct vm_list list;
		char *places;

		g_test_message("%s", malformed_cases[i].body);
		finding_list_init(&findings);
		vm_list_init(&list);
		g_assert_false(decode_bytes(&list, malformed_cases[i].body,
					    &findings));
		places = format_places(&findings);
		g_assert_true(
			g_str_has_suffix(places, malformed_cases[i].places));
		g_free(places);
		vm_list_clear(&list);
		finding_list_clear(&findings);
	}
}

static gboolean is_vm_current(const struct vm_reader *r,
			      const struct fake_vms *f, guint vm)
{
	const struct vm_list *l = vm_reader_list(r);
	char *name = g_strdup_printf("vm-%06u", vm);
	const struct vm_entry *e = l ? vm_list_find(l, name) : NULL;

	g_free(name);
	return e && e->state == (f->is_leaving[vm] ? VM_LEAVING : VM_LIVE);
}

/*
 * An entry VM may read 24 KB/s; two processes of it read the list. Each may use
 * a tenth of that, or a third if the platform lacks ETags or the filter. With
 * both, a change of the own domain must show within 3 s.
 */
struct span_case {
	const char *path;
	guint vms;
	struct fake_vms_behaviour behaviour;
	guint64 max_bytes_per_s;
	int64_t max_own_s;   /* until a change in the own domain shows */
	int64_t max_other_s; /* until one in another domain shows */
};

#define FULL_BYTES_PER_S 2400
#define DEGRADED_BYTES_PER_S 8000

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
	  DEGRADED_BYTES_PER_S,
	  300,
	  300 },
	{ "/vm-list/span/filter-refused",
	  VMS / 5,
	  { .has_etag = TRUE, .refuses_filter = TRUE },
	  DEGRADED_BYTES_PER_S,
	  3,
	  3 },
	{ "/vm-list/span/filter-only",
	  VMS / 5,
	  { .has_filter = TRUE },
	  DEGRADED_BYTES_PER_S,
	  60,
	  600 },
	{ "/vm-list/span/neither",
	  VMS / 5,
	  { 0 },
	  DEGRADED_BYTES_PER_S,
	  300,
	  300 },
	{ "/vm-list/span/stuck",
	  VMS / 5,
	  { .has_etag = TRUE, .has_filter = TRUE, .has_constant_etag = TRUE },
	  DEGRADED_BYTES_PER_S,
	  3600,
	  3600 },
	{ "/vm-list/span/backwards",
	  VMS / 5,
	  { .has_etag = TRUE, .has_filter = TRUE, .alternates_replicas = TRUE },
	  DEGRADED_BYTES_PER_S,
	  60,
	  600 },
};

/* A change that the reader does not show yet. */
struct change {
	guint vm;
	int64_t at_s; /* when it was made */
};

/*
 * Updates the longest delays, [0] for the own domain and [1] for others, and
 * drops the changes that the reader shows.
 */
static void update_delays(const struct vm_reader *r, const struct fake_vms *f,
			  GArray *pending, int64_t now_s, int64_t *max_delays_s)
{
	for (guint i = pending->len; i > 0; i--) {
		const struct change *c =
			&g_array_index(pending, struct change, i - 1);
		int64_t *max_s = &max_delays_s[c->vm % FAKE_DOMAINS != 0];

		*max_s = MAX(*max_s, now_s - c->at_s);
		if (is_vm_current(r, f, c->vm))
			g_array_remove_index_fast(pending, i - 1);
	}
}

/* Makes a change at random, never of VM 0, on which replicas differ. */
static void maybe_change(struct fake_vms *f, GRand *rng, GArray *pending,
			 int64_t now_s)
{
	struct change c = {
		1 + (guint)g_rand_int_range(rng, 0, f->vm_count - 1), now_s
	};

	if (now_s < SETTLE_S ||
	    g_rand_int_range(rng, 0, DAY_S) >= CHANGES_PER_DAY)
		return;
	/* More changes in the own domain than its share, to measure them. */
	if (f->changes % 3 == 0 && c.vm > FAKE_DOMAINS)
		c.vm -= c.vm % FAKE_DOMAINS;
	fake_vms_toggle(f, c.vm);
	g_array_append_val(pending, c);
	f->changes++;
}

static int64_t counter_of(struct counters *counters, const char *name)
{
	return counters_counter(counters, name, "")->value;
}

static void check_span(const struct span_case *c, const struct fake_vms *f,
		       struct counters *counters, const int64_t *max_delays_s)
{
	int64_t changes = counter_of(counters, "cs_vm_list_changes_total");
	int64_t etag_reuses = counter_of(counters, "cs_vm_list_untold_total");

	g_test_message(
		"%u changes, %" G_GUINT64_FORMAT
		" bytes/s, %.2f reads/s, %d changed lists, longest delay "
		"%d s in the own domain, %d s in others",
		f->changes, f->bytes / SPAN_S, (double)f->reads / SPAN_S,
		(int)changes, (int)max_delays_s[0], (int)max_delays_s[1]);
	g_assert_cmpuint(f->bytes / SPAN_S, <=, c->max_bytes_per_s);
	g_assert_cmpint(max_delays_s[0], <=, c->max_own_s);
	g_assert_cmpint(max_delays_s[1], <=, c->max_other_s);
	g_assert_cmpint(etag_reuses > 0, ==, c->behaviour.has_constant_etag);
	/* An unchanged list counts as no change, also without ETags. */
	if (!c->behaviour.alternates_replicas)
		g_assert_cmpint(changes, <=, FAKE_DOMAINS + 1 + 2 * f->changes);
}

/* A reader in the failure domain d0 and its simulated platform. */
struct world {
	struct counters counters;
	struct fake_vms fake;
	struct vm_reader *reader;
};

static void world_init(struct world *w, const struct fake_vms_behaviour *b,
		       guint vms)
{
	struct vm_reader_spec spec = { &w->fake.base, "d0", &w->counters, 7 };

	counters_init(&w->counters);
	fake_vms_init(&w->fake, b, vms);
	w->reader = vm_reader_new(&spec);
}

static void world_clear(struct world *w)
{
	vm_reader_free(w->reader);
	fake_vms_clear(&w->fake);
	counters_clear(&w->counters);
}

static void test_span(gconstpointer data)
{
	const struct span_case *c = data;
	struct world w;
	GRand *rng = g_rand_new_with_seed(11);
	GArray *pending = g_array_new(FALSE, FALSE, sizeof(struct change));
	int64_t max_delays_s[2] = { 0, 0 };

	world_init(&w, &c->behaviour, c->vms);
	for (int64_t s = 0; s < SPAN_S; s++) {
		maybe_change(&w.fake, rng, pending, s);
		fake_vms_step(&w.fake, w.reader, s * MS_PER_S);
		update_delays(w.reader, &w.fake, pending, s, max_delays_s);
	}
	check_span(c, &w.fake, &w.counters, max_delays_s);
	g_assert_cmpuint(vm_reader_list(w.reader)->vms->len, ==, c->vms);
	world_clear(&w);
	g_array_unref(pending);
	g_rand_free(rng);
}

/*
 * The two processes of a VM share 32 MB. Each may use a twentieth of it for the
 * list, and a tenth while it reads the list at its start.
 */
#define CONTROL_BYTES (32 << 20)
#define MAX_HELD_BYTES (CONTROL_BYTES / 20)
#define MAX_START_BYTES (CONTROL_BYTES / 10)
/** Time after which all parts of the list were read. */
#define HELD_S 60

/* Uses one heap that never shrinks, so that its size is the peak. */
static void use_growing_heap(void)
{
	mallopt(M_MMAP_THRESHOLD, CONTROL_BYTES);
	mallopt(M_TRIM_THRESHOLD, CONTROL_BYTES);
}

static void test_memory(void)
{
	const struct fake_vms_behaviour behaviour = { .has_etag = TRUE,
						      .has_filter = TRUE };
	struct world w;
	struct mallinfo2 before;
	struct mallinfo2 start;
	struct mallinfo2 held;

	world_init(&w, &behaviour, VMS);
	before = mallinfo2();
	fake_vms_step(&w.fake, w.reader, 0);
	start = mallinfo2();
	for (int64_t s = 1; s <= HELD_S; s++)
		fake_vms_step(&w.fake, w.reader, s * MS_PER_S);
	held = mallinfo2();
	g_assert_cmpuint(vm_reader_list(w.reader)->vms->len, ==, VMS);
	g_test_message("%zu KB more at the start, %zu KB held",
		       (start.arena - before.arena) / 1024,
		       (held.uordblks - before.uordblks) / 1024);
	g_assert_cmpuint(start.arena - before.arena, <=, MAX_START_BYTES);
	g_assert_cmpuint(held.uordblks - before.uordblks, <=, MAX_HELD_BYTES);
	world_clear(&w);
}

/* The last list stays in force when a body has no list. */
static void test_refused(void)
{
	const struct fake_vms_behaviour behaviour = { .has_etag = TRUE,
						      .has_filter = TRUE };
	struct world w;
	int64_t refused;

	world_init(&w, &behaviour, FAKE_DOMAINS);
	g_assert_null(vm_reader_list(w.reader));
	fake_vms_step(&w.fake, w.reader, 0);
	fake_vms_toggle(&w.fake, 0);
	w.fake.body_override = "{\"vms\":3}";
	fake_vms_step(&w.fake, w.reader, 1000);
	g_assert_false(is_vm_current(w.reader, &w.fake, 0));
	refused = counter_of(&w.counters, "cs_vm_list_refused_total");
	g_assert_cmpint(refused, ==, 1);
	w.fake.body_override = NULL;
	fake_vms_step(&w.fake, w.reader, 2000);
	g_assert_true(is_vm_current(w.reader, &w.fake, 0));
	vm_reader_step(w.reader, 3000);
	world_clear(&w); /* with a call in flight */
}

/* Returns a count of the platform's stand-in. */
static int64_t read_platform_count(struct cluster *c, const char *platform,
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

struct count_wait {
	struct cluster *cluster;
	const char *platform;
	const char *name;
	int64_t count;
};

static gboolean has_counted(void *data)
{
	const struct count_wait *a = data;

	return read_platform_count(a->cluster, a->platform, a->name) >=
	       a->count;
}

static void wait_for_count(struct cluster *c, const char *platform,
			   const char *name, int64_t count)
{
	struct count_wait a = { c, platform, name, count };

	g_assert_true(cluster_wait(has_counted, &a, 20000));
}

#define TWO_VMS                                                                \
	"{\"add_vms\":[" ENDPOINT("a",                                         \
				  "") ",{\"vm\":\"b\",\"role\":"               \
				      "\"endpoint\",\"service\":\"s\","        \
				      "\"failure_domain\":\"d1\",\"address\":" \
				      "\"127.0.0.1:2\"}]}"
#define OWN_CHANGE "{\"add_vms\":[" ENDPOINT("a", ",\"state\":\"leaving\"") "]}"

/*
 * A gateway process keeps reading, but gets a body only after a change: one for
 * each read that covers the VM (own domain, whole list), none for another
 * domain.
 */
static void test_bodies(void)
{
	struct cluster *c = cluster_new();
	char *platform = cluster_reserve_address();
	char *http = cluster_reserve_address();
	char *link = cluster_reserve_address();
	struct cluster_node_spec node = { .node = "g0",
					  .http = http,
					  .link = link,
					  .platform = platform,
					  .failure_domain = "d0" };
	struct cluster_process *p =
		cluster_spawn(c, "cs-standin-platform", "platform",
			      CLUSTER_ARGS("--listen", platform));
	int64_t reads;

	g_free(cluster_listen_address(p, 0));
	cluster_control(c, platform, TWO_VMS);
	cluster_spawn_node(c, "csgated", &node);
	wait_for_count(c, platform, "vm_bodies", 3);
	reads = read_platform_count(c, platform, "vm_reads");
	wait_for_count(c, platform, "vm_reads", reads + 8);
	g_assert_cmpint(read_platform_count(c, platform, "vm_bodies"), ==, 3);
	cluster_control(c, platform, OWN_CHANGE);
	wait_for_count(c, platform, "vm_bodies", 5);
	reads = read_platform_count(c, platform, "vm_reads");
	wait_for_count(c, platform, "vm_reads", reads + 8);
	g_assert_cmpint(read_platform_count(c, platform, "vm_bodies"), ==, 5);
	cluster_free(c);
	g_free(platform);
	g_free(http);
	g_free(link);
}

int main(int argc, char **argv)
{
	use_growing_heap();
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/vm-list/memory", test_memory);
	g_test_add_func("/vm-list/decode", test_decode);
	g_test_add_func("/vm-list/unsound", test_malformed);
	for (guint i = 0; i < G_N_ELEMENTS(span_cases); i++)
		g_test_add_data_func(span_cases[i].path, &span_cases[i],
				     test_span);
	g_test_add_func("/vm-list/refused", test_refused);
	g_test_add_func("/vm-list/bodies", test_bodies);
	return g_test_run();
}
