#include <glib.h>
#include <string.h>

#include "tests/config_world.h"
#include "tests/explorer.h"
#include "tests/lease_world.h"
#include "tests/member_world.h"

/** Seeds per protocol without a defect. */
#define SEEDS 700
/** Seeds within which an injected defect must be detected. */
#define DEFECT_SEEDS 2000

static void explore(const struct explorer_world *world)
{
	for (guint32 seed = 1; seed <= SEEDS; seed++) {
		char *violation = explorer_run(world, seed, NULL);

		if (violation)
			g_error("%s", violation);
	}
}

static void test_lease(void)
{
	explore(&lease_world);
}

static void test_config(void)
{
	explore(&config_world);
}

static void test_members(void)
{
	explore(&member_world);
}

static int64_t valid_from_answer(int64_t sent_ms, int64_t answered_ms)
{
	return answered_ms;
}

static int64_t expires_without_margin(int64_t seen_ms, int64_t ttl_ms)
{
	return seen_ms + ttl_ms;
}

static int64_t keep_epoch(int64_t epoch)
{
	return epoch > 0 ? epoch : 1;
}

static gboolean always_newer(const struct member_record *a,
			     const struct member_record *b)
{
	return TRUE;
}

struct defect_case {
	const char *name;
	const struct explorer_world *world;
	const void *defect;
	const char *violation; /* expected part of the message */
};

static void test_defects(void)
{
	struct lease_defects lease_defects[] = {
		{ .rules = lease_rules_default },
		{ .rules = lease_rules_default },
		{ .rules = lease_rules_default },
		{ .rules = lease_rules_default },
	};
	static const struct config_defects versions_ignored = {
		.ignore_versions = TRUE,
	};
	static const struct config_defects base_ignored = { .ignore_base =
								    TRUE };
	struct member_defects any_state = { member_rules_default, FALSE };
	struct member_defects any_status = { member_rules_default, FALSE };
	struct member_defects views_ignored = { member_rules_default, TRUE };
	const struct defect_case cases[] = {
		{ "expiry counted from the answer", &lease_world,
		  &lease_defects[0], "two holders at once" },
		{ "no margin for clock rates", &lease_world, &lease_defects[1],
		  "two holders at once" },
		{ "epoch not raised on takeover", &lease_world,
		  &lease_defects[2], "act with epoch" },
		{ "worker's epoch check removed", &lease_world,
		  &lease_defects[3], "obeys epoch" },
		{ "version comparison removed", &config_world,
		  &versions_ignored, "version falls" },
		{ "head written without its version", &config_world,
		  &base_ignored, "accepted versions do not rise" },
		{ "state comparison removed", &member_world, &any_state,
		  "version of a state falls" },
		{ "status comparison removed", &member_world, &any_status,
		  "version of a status falls" },
		{ "views of members not compared", &member_world,
		  &views_ignored, "does not see" },
	};

	lease_defects[0].rules.valid_from = valid_from_answer;
	lease_defects[1].rules.expires_at = expires_without_margin;
	lease_defects[2].rules.next_epoch = keep_epoch;
	any_state.rules.is_newer_state = always_newer;
	any_status.rules.is_newer_status = always_newer;
	lease_defects[3].workers_ignore_epochs = TRUE;
	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *violation = NULL;
		guint32 seed = 0;

		while (!violation && seed < DEFECT_SEEDS)
			violation = explorer_run(cases[i].world, ++seed,
						 cases[i].defect);
		g_test_message("%s: seed %u", cases[i].name, seed);
		if (!violation || !strstr(violation, cases[i].violation))
			g_error("%s: %s", cases[i].name,
				violation ? violation : "no violation found");
		g_free(violation);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/explore/lease", test_lease);
	g_test_add_func("/explore/config", test_config);
	g_test_add_func("/explore/members", test_members);
	g_test_add_func("/explore/plants", test_defects);
	return g_test_run();
}
