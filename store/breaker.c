#include "store/breaker.h"

#define SHARE_FULL 1.0
#define SLOW_FACTOR 2
/* A step is congested if more than one in this many calls is slow or fails. */
#define CONGESTED_DIVISOR 4
#define JITTER_MIN 0.5 /* share of the delay that is not random */

const struct breaker_config breaker_config_default = {
	.failures_to_open = 5,
	.first_delay_ms = 200,
	.max_delay_ms = 2000,
	.first_share = 0.01,
	.growth_factor = 1.2,
	.decrease_factor = 0.7,
	.step_ms = 500,
	.slack_ms = 50,
};

static const char *const state_names[BREAKER_STATE_COUNT] = {
	[BREAKER_CLOSED] = "closed",
	[BREAKER_OPEN] = "open",
	[BREAKER_HALF_OPEN] = "half_open",
	[BREAKER_RECOVERING] = "recovering",
};

static void enter_state(struct breaker *b, enum breaker_state state)
{
	b->state = state;
	b->consecutive_failures = 0;
	b->generation++;
}

void breaker_init(struct breaker *b, const struct breaker_config *config)
{
	*b = (struct breaker){ .config = config, .share = SHARE_FULL };
}

gboolean breaker_allow(struct breaker *b, int64_t now_ms)
{
	if (b->state == BREAKER_HALF_OPEN)
		return FALSE;
	if (b->state != BREAKER_OPEN)
		return TRUE;
	if (now_ms < b->next_probe_ms)
		return FALSE;
	enter_state(b, BREAKER_HALF_OPEN);
	return TRUE;
}

double breaker_share(const struct breaker *b)
{
	return b->share;
}

static void start_step(struct breaker *b, int64_t now_ms)
{
	b->slow_count = 0;
	b->outcome_count = 0;
	b->step_end_ms = now_ms + b->config->step_ms;
}

static void start_recovery(struct breaker *b, int64_t latency_ms,
			   int64_t now_ms)
{
	enter_state(b, BREAKER_RECOVERING);
	b->open_count = 0;
	b->share = b->config->first_share;
	b->min_latency_ms = latency_ms;
	start_step(b, now_ms);
}

/* Keeps the share if some calls were slow, lowers it if many were. */
static double share_factor(const struct breaker *b)
{
	if (b->slow_count * CONGESTED_DIVISOR > b->outcome_count)
		return b->config->decrease_factor;
	return b->slow_count ? 1 : b->config->growth_factor;
}

static void end_step(struct breaker *b, int64_t now_ms)
{
	if (now_ms < b->step_end_ms)
		return;
	b->share *= share_factor(b);
	b->share = MAX(b->share, b->config->first_share);
	start_step(b, now_ms);
	if (b->share < SHARE_FULL)
		return;
	b->share = SHARE_FULL;
	enter_state(b, BREAKER_CLOSED);
}

static void record_latency(struct breaker *b, int64_t latency_ms)
{
	b->outcome_count++;
	b->min_latency_ms = MIN(b->min_latency_ms, latency_ms);
	if (latency_ms > b->min_latency_ms * SLOW_FACTOR + b->config->slack_ms)
		b->slow_count++;
}

void breaker_success(struct breaker *b, uint32_t generation, int64_t latency_ms,
		     int64_t now_ms)
{
	if (generation != b->generation)
		return;
	b->consecutive_failures = 0;
	if (b->state == BREAKER_HALF_OPEN) {
		start_recovery(b, latency_ms, now_ms);
		return;
	}
	if (b->state != BREAKER_RECOVERING)
		return;
	record_latency(b, latency_ms);
	end_step(b, now_ms);
}

/* Exponential backoff with jitter; call before open_count is increased. */
static int64_t delay_ms(const struct breaker *b, GRand *rng)
{
	int64_t delay = b->config->first_delay_ms;

	for (guint i = 0; i < b->open_count && delay < b->config->max_delay_ms;
	     i++)
		delay *= 2;
	delay = MIN(delay, b->config->max_delay_ms);
	return (int64_t)((double)delay *
			 g_rand_double_range(rng, JITTER_MIN, 1));
}

static void open_breaker(struct breaker *b, int64_t now_ms, GRand *rng)
{
	enter_state(b, BREAKER_OPEN);
	b->next_probe_ms = now_ms + delay_ms(b, rng);
	b->open_count++;
	b->share = 0;
}

void breaker_failure(struct breaker *b, uint32_t generation, int64_t now_ms,
		     GRand *rng)
{
	if (generation != b->generation)
		return;
	b->consecutive_failures++;
	if (b->state == BREAKER_HALF_OPEN ||
	    b->consecutive_failures >= b->config->failures_to_open) {
		open_breaker(b, now_ms, rng);
		return;
	}
	if (b->state != BREAKER_RECOVERING)
		return;
	b->outcome_count++;
	b->slow_count++;
	end_step(b, now_ms);
}

int64_t breaker_next_probe_ms(const struct breaker *b)
{
	return b->state == BREAKER_OPEN ? b->next_probe_ms : 0;
}

const char *breaker_state_name(enum breaker_state state)
{
	return state_names[state];
}
