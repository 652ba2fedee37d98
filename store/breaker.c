#include "store/breaker.h"

#define SHARE_FULL 1.0
#define SLOW_FACTOR 2
#define CONGESTED_PARTS 4 /* one slow answer in so many */
#define JITTER_MIN 0.5

const struct breaker_config breaker_config_default = {
	.failures_to_open = 5,
	.first_delay_ms = 200,
	.max_delay_ms = 2000,
	.first_share = 0.01,
	.growth = 1.2,
	.decrease = 0.7,
	.step_ms = 500,
	.slack_ms = 50,
};

static const char *const state_names[BREAKER_STATE_COUNT] = {
	[BREAKER_CLOSED] = "closed",
	[BREAKER_OPEN] = "open",
	[BREAKER_HALF_OPEN] = "half_open",
	[BREAKER_RECOVERING] = "recovering",
};

static void enter(struct breaker *b, enum breaker_state state)
{
	b->state = state;
	b->failures = 0;
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
	if (now_ms < b->probe_ms)
		return FALSE;
	enter(b, BREAKER_HALF_OPEN);
	return TRUE;
}

double breaker_share(const struct breaker *b)
{
	return b->share;
}

static void start_step(struct breaker *b, int64_t now_ms)
{
	b->slow_answers = 0;
	b->answers = 0;
	b->step_end_ms = now_ms + b->config->step_ms;
}

static void start_recovery(struct breaker *b, int64_t latency_ms,
			   int64_t now_ms)
{
	enter(b, BREAKER_RECOVERING);
	b->attempt = 0;
	b->share = b->config->first_share;
	b->fastest_ms = latency_ms;
	start_step(b, now_ms);
}

/* Holds the share while some answers are slow, lowers it when many are. */
static double step_factor(const struct breaker *b)
{
	if (b->slow_answers * CONGESTED_PARTS > b->answers)
		return b->config->decrease;
	return b->slow_answers ? 1 : b->config->growth;
}

static void end_step(struct breaker *b, int64_t now_ms)
{
	if (now_ms < b->step_end_ms)
		return;
	b->share *= step_factor(b);
	b->share = MAX(b->share, b->config->first_share);
	start_step(b, now_ms);
	if (b->share < SHARE_FULL)
		return;
	b->share = SHARE_FULL;
	enter(b, BREAKER_CLOSED);
}

static void note_latency(struct breaker *b, int64_t latency_ms)
{
	b->answers++;
	b->fastest_ms = MIN(b->fastest_ms, latency_ms);
	if (latency_ms > b->fastest_ms * SLOW_FACTOR + b->config->slack_ms)
		b->slow_answers++;
}

void breaker_success(struct breaker *b, uint32_t generation, int64_t latency_ms,
		     int64_t now_ms)
{
	if (generation != b->generation)
		return;
	b->failures = 0;
	if (b->state == BREAKER_HALF_OPEN) {
		start_recovery(b, latency_ms, now_ms);
		return;
	}
	if (b->state != BREAKER_RECOVERING)
		return;
	note_latency(b, latency_ms);
	end_step(b, now_ms);
}

/* Doubles with each failed probe; half of it is random. */
static int64_t delay_ms(const struct breaker *b, GRand *rng)
{
	int64_t delay = b->config->first_delay_ms;

	for (guint i = 0; i < b->attempt && delay < b->config->max_delay_ms;
	     i++)
		delay *= 2;
	delay = MIN(delay, b->config->max_delay_ms);
	return (int64_t)((double)delay *
			 g_rand_double_range(rng, JITTER_MIN, 1));
}

static void open_breaker(struct breaker *b, int64_t now_ms, GRand *rng)
{
	enter(b, BREAKER_OPEN);
	b->probe_ms = now_ms + delay_ms(b, rng);
	b->attempt++;
	b->share = 0;
}

void breaker_failure(struct breaker *b, uint32_t generation, int64_t now_ms,
		     GRand *rng)
{
	if (generation != b->generation)
		return;
	b->failures++;
	if (b->state == BREAKER_HALF_OPEN ||
	    b->failures >= b->config->failures_to_open) {
		open_breaker(b, now_ms, rng);
		return;
	}
	if (b->state != BREAKER_RECOVERING)
		return;
	b->answers++;
	b->slow_answers++;
	end_step(b, now_ms);
}

int64_t breaker_probe_ms(const struct breaker *b)
{
	return b->state == BREAKER_OPEN ? b->probe_ms : 0;
}

const char *breaker_state_name(enum breaker_state state)
{
	return state_names[state];
}
