#include "entry/entry_store.h"

#include "store/breaker.h"
#include "store/store_budget.h"
#include "store/store_gate.h"

/* Several times the latency of a call to a slow store. */
#define CALL_TIMEOUT_MS 1500
/* Largest share of the store's rate limits that one process may use. */
#define PROCESS_SHARE 0.5
/* Burst size of a process, in seconds at its rate. */
#define BURST_S 0.5
/* Share of the burst that is reserved for high-priority calls. */
#define RESERVED_SHARE 0.25

/* Only a few dozen processes share this store, so the ramp-up after an outage
 * takes about a second. */
static const struct breaker_config breaker = {
	.failures_to_open = 5,
	.first_delay_ms = 100,
	.max_delay_ms = 400,
	.first_share = 0.25,
	.growth_factor = 2,
	.decrease_factor = 0.7,
	.step_ms = 200,
	.slack_ms = 50,
};

struct entry_store {
	struct service base;
	const struct entry_settings *settings;
	struct store_budget_config budgets[STORE_CALL_COUNT];
	struct store_gate_config gate;
	struct platform *platform;
};

static struct entry_store *find(const struct kernel *k)
{
	return (struct entry_store *)kernel_find(k, ENTRY_STORE_SERVICE);
}

static struct store_budget_config process_budget(double rate_per_s)
{
	return (struct store_budget_config){
		.rate_per_s = rate_per_s * PROCESS_SHARE,
		.burst = MAX(rate_per_s * PROCESS_SHARE * BURST_S, 1),
		.reserved_share = RESERVED_SHARE,
	};
}

static enum status entry_store_start(struct service *base, struct kernel *k)
{
	struct entry_store *s = (struct entry_store *)base;
	struct platform_spec spec = {
		.kind = "steppe",
		.address = s->settings->store.address,
		.failure_domain = s->settings->failure_domain,
		.timeout_ms = CALL_TIMEOUT_MS,
		.counters = kernel_counters(k),
		.gate = &s->gate,
	};

	s->budgets[STORE_CALL_READ] =
		process_budget(s->settings->store.reads_per_s);
	s->budgets[STORE_CALL_WRITE] =
		process_budget(s->settings->store.writes_per_s);
	s->gate.breaker = &breaker;
	for (guint i = 0; i < STORE_CALL_COUNT; i++)
		s->gate.budgets[i] = &s->budgets[i];
	s->platform = platform_new(&spec);
	return s->platform ? STATUS_OK : STATUS_INVALID;
}

static void entry_store_free(struct service *base)
{
	struct entry_store *s = (struct entry_store *)base;

	if (s->platform)
		platform_free(s->platform);
	g_free(s);
}

static const struct service_class entry_store_class = {
	.name = ENTRY_STORE_SERVICE,
	.start = entry_store_start,
	.free = entry_store_free,
};

struct service *entry_store_new(const struct entry_settings *settings)
{
	struct entry_store *s = g_new0(struct entry_store, 1);

	s->base.class = &entry_store_class;
	s->settings = settings;
	return &s->base;
}

const struct entry_settings *entry_settings_of(const struct kernel *k)
{
	return find(k)->settings;
}

struct platform *entry_platform_of(const struct kernel *k)
{
	return find(k)->platform;
}
