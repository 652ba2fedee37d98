/*
 * Deltas of a configuration: invalid ones are refused, and valid ones lead to
 * the same state as the whole configuration.
 */
#include <glib.h>
#include <string.h>

#include "config/config_doc_change.h"
#include "config/config_version.h"

#define SEEDS 300
#define END_VERSION 40	/* first version that is not tested */
#define MAX_ENTITIES 12 /* limit of random accounts, and of random jobs */

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

static void apply_whole(struct config_version *v, int64_t version,
			json_object *config)
{
	struct finding_list findings;

	finding_list_init(&findings);
	g_assert_cmpint(config_version_apply(v, version, config, &findings), ==,
			STATUS_OK);
	finding_list_clear(&findings);
}

static void init_version(struct config_version *v, const char *text)
{
	json_object *config = json_tokener_parse(text);

	config_version_init(v);
	apply_whole(v, 1, config);
	json_object_put(config);
}

/** A delta with a matching digest, whether valid or not. */
struct delta_case {
	const char *name;
	const char *list;
	const char *set;     /**< JSON array */
	const char *removed; /**< name of an entity, or NULL */
	int64_t base_version;
	int64_t format;
	enum status expected;
};

static const struct delta_case delta_cases[] = {
	{ "valid", "client_accounts", "[" ACCOUNT("y", "2") "]", NULL, 1, 1,
	  STATUS_OK },
	{ "new job", "jobs", "[" JOB("k", "x") "]", NULL, 1, 1, STATUS_OK },
	{ "job removed", "jobs", "[]", "j", 1, 1, STATUS_OK },
	{ "base version not in force", "jobs", "[]", "j", 2, 1,
	  STATUS_CONFLICT },
	{ "unsupported format", "jobs", "[]", "j", 1, 2, STATUS_INVALID },
	{ "unknown account", "jobs", "[" JOB("k", "z") "]", NULL, 1, 1,
	  STATUS_INVALID },
	{ "unknown member of a later version", "client_accounts",
	  "[{\"name\":\"y\",\"service\":\"salkhi\",\"shade\":1}]", NULL, 1, 1,
	  STATUS_OK },
	{ "negative share", "client_accounts", "[" ACCOUNT("y", "-5") "]", NULL,
	  1, 1, STATUS_INVALID },
	{ "job is not an object", "jobs", "[7]", NULL, 1, 1, STATUS_INVALID },
	{ "service in use removed", "services", "[]", "salkhi", 1, 1,
	  STATUS_INVALID },
};

static void make_delta(const struct delta_case *c,
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
	/* The digest matches, so that only the checks can refuse the delta. */
	d->digest = config_delta_digest(d, base);
}

/* Checks that an accepted delta is applied and a refused one is not. */
static void check_version(const struct delta_case *c,
			  const struct config_version *v)
{
	gboolean is_accepted = c->expected == STATUS_OK;

	g_assert_cmpint(v->version, ==, is_accepted ? 2 : 1);
	g_assert_nonnull(config_doc_find_account(&v->doc, "x"));
	g_assert_true(config_doc_has_pool(&v->doc, "salkhi.tov-a"));
	g_assert_cmpint(config_doc_find_account(&v->doc, "y") != NULL, ==,
			is_accepted && strstr(c->set, "\"y\""));
}

static void run_delta_case(const struct delta_case *c)
{
	struct config_delta d;
	struct config_version v;
	struct finding_list findings;

	init_version(&v, BASE);
	make_delta(c, v.body, &d);
	finding_list_init(&findings);
	g_test_message("%s", c->name);
	g_assert_cmpint(config_version_apply_delta(&v, &d, &findings), ==,
			c->expected);
	g_assert_cmpint(c->expected == STATUS_INVALID &&
				c->format == CONFIG_FORMAT,
			==, finding_list_count(&findings) > 0);
	check_version(c, &v);
	schema_clear(&config_delta_schema, &d);
	finding_list_clear(&findings);
	config_version_clear(&v);
}

/* Refused deltas leave the configuration in force unchanged. */
static void test_delta_cases(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(delta_cases); i++)
		run_delta_case(&delta_cases[i]);
}

static json_object *new_random_config(GRand *rand)
{
	GString *text = g_string_new("{\"format\":1,\"services\":[" SERVICE(
		"salkhi") "],\"client_accounts\":[" ACCOUNT("x", "1"));
	json_object *config;
	const char *comma = "";

	for (guint i = 0; i < MAX_ENTITIES; i++) {
		if (g_rand_boolean(rand))
			g_string_append_printf(text, "," ACCOUNT("a%u", "%d"),
					       i, g_rand_int_range(rand, 1, 4));
	}
	g_string_append(text, "],\"jobs\":[");
	for (guint i = 0; i < MAX_ENTITIES; i++) {
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

static char *format_accounts(const struct config_doc *doc)
{
	GString *names = g_string_new(NULL);

	for (guint i = 0; i < MAX_ENTITIES; i++) {
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

/* Asserts that both have the same accounts, jobs and digest. */
static void assert_same(const struct config_version *x,
			const struct config_version *y)
{
	char *names[] = { format_accounts(&x->doc), format_accounts(&y->doc) };
	char *digests[] = { config_body_digest(x->body),
			    config_body_digest(y->body) };

	g_assert_cmpstr(names[0], ==, names[1]);
	g_assert_cmpstr(digests[0], ==, digests[1]);
	g_assert_cmpuint(config_body_count(x->body, CONFIG_LIST_JOBS), ==,
			 config_body_count(y->body, CONFIG_LIST_JOBS));
	for (guint i = 0; i < MAX_ENTITIES; i++) {
		struct job_spec jobs[2] = { { 0 }, { 0 } };
		char name[16];

		g_snprintf(name, sizeof(name), "j%u", i);
		g_assert_cmpint(config_doc_decode_job(x->body, name, &jobs[0]),
				==,
				config_doc_decode_job(y->body, name, &jobs[1]));
		g_assert_cmpstr(jobs[0].name, ==, jobs[1].name);
		schema_clear(&job_spec_schema, &jobs[0]);
		schema_clear(&job_spec_schema, &jobs[1]);
	}
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		g_free(names[i]);
		g_free(digests[i]);
	}
}

/* One process applies each configuration as a whole, the other by deltas. */
static void test_deltas_like_whole(void)
{
	for (guint32 seed = 0; seed < SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed(seed);
		struct config_version whole;
		struct config_version changed;
		struct finding_list findings;

		finding_list_init(&findings);
		init_version(&whole, BASE);
		init_version(&changed, BASE);
		for (int64_t version = 2; version < END_VERSION; version++) {
			json_object *config = new_random_config(rand);
			struct config_delta d = { 0 };

			apply_whole(&whole, version, config);
			config_delta_make(changed.body, version - 1, whole.body,
					  version, &d);
			g_assert_cmpint(config_version_apply_delta(&changed, &d,
								   &findings),
					==, STATUS_OK);
			assert_same(&whole, &changed);
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
	g_test_add_func("/config-change/unsound", test_delta_cases);
	g_test_add_func("/config-change/like-whole", test_deltas_like_whole);
	return g_test_run();
}
