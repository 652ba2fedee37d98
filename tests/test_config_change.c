/*
 * Changes of a configuration, applied entity by entity, against the whole
 * configuration taken at once.
 */
#include <glib.h>
#include <string.h>

#include "config/config_doc_change.h"
#include "config/config_version.h"

#define SEEDS 300
#define ROUNDS 40
#define NAMES 12

#define SERVICE(name) "{\"name\":\"" name "\",\"failure_domains\":[\"tov-a\"]}"
#define ACCOUNT(name, share) \
	"{\"name\":\"" name "\",\"service\":\"salkhi\",\"share\":" share "}"
#define JOB(name, account)                                                 \
	"{\"name\":\"" name "\",\"client_account\":\"" account             \
	"\",\"pool\":\"salkhi.tov-a\",\"shape\":{\"members\":2,\"accelera" \
	"tors\":1}}"
#define BASE                                                                   \
	"{\"format\":1,\"services\":[" SERVICE(                                \
		"salkhi") "],\"client_"                                        \
			  "accounts\":[" ACCOUNT("x", "1") "],\"jobs\":[" JOB( \
				  "j", "x") "]}"

static void take_whole(struct config_version *v, int64_t version,
		       json_object *config)
{
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_cmpint(config_version_offer(v, version, config, &findings), ==,
			STATUS_OK);
	finding_list_clear(&findings);
}

static void start(struct config_version *v, const char *text)
{
	json_object *config = json_tokener_parse(text);

	config_version_init(v);
	take_whole(v, 1, config);
	json_object_put(config);
}

/** A change sent by a process that takes what is unsound for sound. */
struct unsound_case {
	const char *name;
	const char *list;
	const char *set; /**< JSON array */
	const char *removed;
	int64_t base_version;
	int64_t format;
	enum status expected;
};

static const struct unsound_case unsound_cases[] = {
	{ "sound", "client_accounts", "[" ACCOUNT("y", "2") "]", NULL, 1, 1,
	  STATUS_OK },
	{ "job of the new account", "jobs", "[" JOB("k", "x") "]", NULL, 1, 1,
	  STATUS_OK },
	{ "removed twice", "jobs", "[]", "j", 1, 1, STATUS_OK },
	{ "other base", "jobs", "[]", "j", 2, 1, STATUS_CONFLICT },
	{ "other format", "jobs", "[]", "j", 1, 2, STATUS_INVALID },
	{ "unknown account", "jobs", "[" JOB("k", "z") "]", NULL, 1, 1,
	  STATUS_INVALID },
	{ "member of a later version", "client_accounts",
	  "[{\"name\":\"y\",\"service\":\"salkhi\",\"shade\":1}]", NULL, 1, 1,
	  STATUS_OK },
	{ "absurd share", "client_accounts", "[" ACCOUNT("y", "-5") "]", NULL,
	  1, 1, STATUS_INVALID },
	{ "no object", "jobs", "[7]", NULL, 1, 1, STATUS_INVALID },
	{ "service of a guarantee gone", "services", "[]", "salkhi", 1, 1,
	  STATUS_INVALID },
};

static void make_delta(const struct unsound_case *c,
		       const struct config_body *base, struct config_delta *d)
{
	struct config_list_delta list = {
		.list = g_strdup(c->list),
		.set = json_tokener_parse(c->set),
		.removed = g_ptr_array_new_with_free_func(g_free),
	};

	if (c->removed)
		g_ptr_array_add(list.removed, g_strdup(c->removed));
	*d = (struct config_delta){
		.base_version = c->base_version,
		.version = c->base_version + 1,
		.format = c->format,
		.lists = g_array_new(FALSE, TRUE,
				     sizeof(struct config_list_delta)),
	};
	g_array_append_val(d->lists, list);
	/* As a process sends it that takes the change for sound. */
	d->digest = config_delta_digest(d, base);
}

/* All is as it was, but for the change that was taken. */
static void check_unsound(const struct unsound_case *c,
			  const struct config_version *v)
{
	gboolean is_taken = c->expected == STATUS_OK;

	g_assert_cmpint(v->version, ==, is_taken ? 2 : 1);
	g_assert_nonnull(config_doc_find_account(&v->doc, "x"));
	g_assert_true(config_doc_has_pool(&v->doc, "salkhi.tov-a"));
	g_assert_cmpint(config_doc_find_account(&v->doc, "y") != NULL, ==,
			is_taken && strstr(c->set, "\"y\""));
}

static void run_unsound(const struct unsound_case *c)
{
	struct config_delta d;
	struct config_version v;
	struct finding_list findings;

	start(&v, BASE);
	make_delta(c, v.body, &d);
	finding_list_init(&findings);
	g_test_message("%s", c->name);
	g_assert_cmpint(config_version_offer_delta(&v, &d, &findings), ==,
			c->expected);
	g_assert_cmpint(c->expected == STATUS_INVALID &&
				c->format == CONFIG_FORMAT,
			==, finding_list_count(&findings) > 0);
	check_unsound(c, &v);
	schema_clear(&config_delta_schema, &d);
	finding_list_clear(&findings);
	config_version_clear(&v);
}

/* An unsound change leaves all as it was. */
static void test_unsound(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(unsound_cases); i++)
		run_unsound(&unsound_cases[i]);
}

static json_object *random_config(GRand *rand)
{
	GString *text = g_string_new("{\"format\":1,\"services\":[" SERVICE(
		"salkhi") "],\"client_accounts\":[" ACCOUNT("x", "1"));
	json_object *config;
	const char *comma = "";

	for (guint i = 0; i < NAMES; i++) {
		if (g_rand_boolean(rand))
			g_string_append_printf(text, "," ACCOUNT("a%u", "%d"),
					       i, g_rand_int_range(rand, 1, 4));
	}
	g_string_append(text, "],\"jobs\":[");
	for (guint i = 0; i < NAMES; i++) {
		if (!g_rand_boolean(rand))
			continue;
		g_string_append_printf(text, "%s" JOB("j%u", "x"), comma, i);
		comma = ",";
	}
	g_string_append(text, "]}");
	config = json_tokener_parse(text->str);
	g_string_free(text, TRUE);
	return config;
}

static char *names_of(const struct config_doc *doc)
{
	GString *names = g_string_new(NULL);

	for (guint i = 0; i < NAMES; i++) {
		char name[16];
		const struct client_account *a;

		g_snprintf(name, sizeof(name), "a%u", i);
		a = config_doc_find_account(doc, name);
		if (a)
			g_string_append_printf(names,
					       "%s=%" G_GINT64_FORMAT " ", name,
					       a->share);
	}
	return g_string_free(names, FALSE);
}

/* Both hold the same: accounts, jobs and digest. */
static void check_same(const struct config_version *x,
		       const struct config_version *y)
{
	char *names[] = { names_of(&x->doc), names_of(&y->doc) };
	char *digests[] = { config_body_digest(x->body),
			    config_body_digest(y->body) };

	g_assert_cmpstr(names[0], ==, names[1]);
	g_assert_cmpstr(digests[0], ==, digests[1]);
	g_assert_cmpuint(config_body_count(x->body, CONFIG_LIST_JOBS), ==,
			 config_body_count(y->body, CONFIG_LIST_JOBS));
	for (guint i = 0; i < NAMES; i++) {
		struct job_spec jobs[2] = { { 0 }, { 0 } };
		char name[16];

		g_snprintf(name, sizeof(name), "j%u", i);
		g_assert_cmpint(config_doc_named_job(x->body, name, &jobs[0]),
				==,
				config_doc_named_job(y->body, name, &jobs[1]));
		g_assert_cmpstr(jobs[0].name, ==, jobs[1].name);
		schema_clear(&job_spec_schema, &jobs[0]);
		schema_clear(&job_spec_schema, &jobs[1]);
	}
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		g_free(names[i]);
		g_free(digests[i]);
	}
}

/* One process takes each configuration whole, the other by its change. */
static void test_like_whole(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct config_version whole;
		struct config_version changed;
		struct finding_list findings;

		finding_list_init(&findings);
		start(&whole, BASE);
		start(&changed, BASE);
		for (int64_t version = 2; version < ROUNDS; version++) {
			json_object *config = random_config(rand);
			struct config_delta d = { 0 };

			take_whole(&whole, version, config);
			config_delta_make(changed.body, version - 1, whole.body,
					  version, &d);
			g_assert_cmpint(config_version_offer_delta(&changed, &d,
								   &findings),
					==, STATUS_OK);
			check_same(&whole, &changed);
			schema_clear(&config_delta_schema, &d);
			json_object_put(config);
		}
		config_version_clear(&whole);
		config_version_clear(&changed);
		finding_list_clear(&findings);
		g_rand_free(rand);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config-change/unsound", test_unsound);
	g_test_add_func("/config-change/like-whole", test_like_whole);
	return g_test_run();
}
