#include <glib.h>
#include <string.h>

#include "base/json_text.h"
#include "client/config_diff.h"
#include "config/bearer_token.h"
#include "lib/cs_plan.h"

static const char *const domains[] = { "a", "b", NULL };

static const struct shape small_shape = {
	.members = 1,
	.accelerators = 1,
	.cores = 1,
	.memory_mb = 1,
};

struct plan_case {
	const char *service; /* name of the added service */
	const char *account;
	const char *account_service;
	const char *shape_account;
	const char *pool;
	int64_t members;
	const char *findings; /* all findings, "" if the plan is valid */
};

static const struct plan_case plan_cases[] = {
	{ "s", "x", "s", "x", "s.a", 1, "" },
	{ "s", "x", "s", "x", "s.c", 1,
	  "client_accounts[0].guaranteed_shapes[0].pool: unknown pool "
	  "(allowed: SERVICE.FAILURE_DOMAIN of services)\n" },
	{ "s", "x", "t", "x", "s.a", 1,
	  "client_accounts[0].service: unknown service (allowed: a name "
	  "listed in services)\n" },
	{ "s", "x", "s", "y", "s.a", 1,
	  "y: guaranteed shape g of an unknown account (allowed: an account "
	  "that was added before)\n" },
	{ "s", "x y", "s", "x y", "s.a", 1,
	  "client_accounts[0].name: bad name (allowed: letters, digits, - and "
	  "_)\n" },
	{ "s", "x", "s", "x", "s.a", 257,
	  "client_accounts[0].guaranteed_shapes[0].shape.members: value out of "
	  "range (allowed: 1 to 256)\n" },
	{ "s", "x", "s", "x", "s.a", -1,
	  "client_accounts[0].guaranteed_shapes[0].shape.members: value out of "
	  "range (allowed: 1 to 256)\n" },
};

static struct cs_plan *make_plan(const struct plan_case *c)
{
	struct cs_plan *plan = cs_plan_new();
	struct cs_client_account account = {
		.name = c->account,
		.service = c->account_service,
		.token = "secret",
	};
	struct shape shape = small_shape;

	shape.members = c->members;
	cs_plan_add_service(plan, c->service, domains);
	cs_plan_add_client_account(plan, &account);
	cs_plan_add_guaranteed_shape(plan, c->shape_account, "g", c->pool,
				     &shape);
	return plan;
}

static void test_plan_findings(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(plan_cases); i++) {
		struct cs_plan *plan = make_plan(&plan_cases[i]);
		struct finding_list findings;
		char *text;

		finding_list_init(&findings);
		cs_plan_check(plan, &findings);
		text = finding_list_text(&findings);
		g_assert_cmpstr(text, ==, plan_cases[i].findings);
		g_free(text);
		finding_list_clear(&findings);
		cs_plan_free(plan);
	}
}

/*
 * The JSON doesn't depend on the order in which parts are added, and contains
 * no token in plain text.
 */
static void test_plan_stable_order(void)
{
	static const char *const names[][2] = { { "x", "y" }, { "y", "x" } };
	char *texts[2];

	for (guint i = 0; i < 2; i++) {
		struct cs_plan *plan = cs_plan_new();

		cs_plan_add_service(plan, "s", domains);
		for (guint j = 0; j < 2; j++) {
			struct cs_client_account a = { .name = names[i][j],
						       .service = "s",
						       .token = "secret" };

			cs_plan_add_client_account(plan, &a);
		}
		texts[i] = cs_plan_to_json(plan);
		cs_plan_free(plan);
	}
	g_assert_cmpstr(texts[0], ==, texts[1]);
	g_assert_null(strstr(texts[0], "secret"));
	g_free(texts[0]);
	g_free(texts[1]);
}

static const struct {
	const char *before;
	const char *after;
	const char *changes;
} diff_cases[] = {
	{ "{}", "{}", "" },
	{ "{}", "{\"jobs\":[{\"name\":\"j\"}]}", "+ jobs j\n" },
	{ "{\"jobs\":[{\"name\":\"j\"}]}", "{\"jobs\":[]}", "- jobs j\n" },
	{ "{\"jobs\":[{\"name\":\"j\"}]}", "{\"jobs\":[{\"name\":\"j\"}]}",
	  "" },
	{ "{\"services\":[{\"name\":\"s\",\"x\":1}]}",
	  "{\"services\":[{\"name\":\"s\",\"x\":2}]}", "~ services s\n" },
};

static void test_config_diff(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(diff_cases); i++) {
		json_object *before = json_tokener_parse(diff_cases[i].before);
		json_object *after = json_tokener_parse(diff_cases[i].after);
		char *text = config_diff_text(before, after);

		g_assert_cmpstr(text, ==, diff_cases[i].changes);
		g_free(text);
		json_object_put(before);
		json_object_put(after);
	}
}

/* SHA-256 of "abc", the test vector of FIPS 180-4. */
#define ABC_SHA256 \
	"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

static const struct {
	const char *token_sha256;
	const char *authorization;
	gboolean is_allowed;
} token_cases[] = {
	{ NULL, NULL, TRUE },
	{ NULL, "Bearer other", TRUE },
	{ ABC_SHA256, "Bearer abc", TRUE },
	{ ABC_SHA256, NULL, FALSE },
	{ ABC_SHA256, "abc", FALSE },
	{ ABC_SHA256, "Bearer abd", FALSE },
	{ ABC_SHA256, "Bearer ", FALSE },
	{ ABC_SHA256, "Bearer " ABC_SHA256, FALSE },
};

static void test_account_tokens(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(token_cases); i++) {
		struct client_account a = {
			.token_sha256 = (char *)token_cases[i].token_sha256,
		};

		g_assert_cmpint(
			bearer_token_allows(&a, token_cases[i].authorization),
			==, token_cases[i].is_allowed);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/plan/findings", test_plan_findings);
	g_test_add_func("/plan/stable-order", test_plan_stable_order);
	g_test_add_func("/plan/config-diff", test_config_diff);
	g_test_add_func("/plan/account-tokens", test_account_tokens);
	return g_test_run();
}
