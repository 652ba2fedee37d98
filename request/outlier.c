#include "request/outlier.h"

#include "base/util.h"

#define MAX_FAILURES 3
#define MAX_SLOWNESS 4.0
/** One answer counts no more, so that a single slow one sets none aside. */
#define MAX_RATIO (2 * MAX_SLOWNESS)
#define MIN_SAMPLES 10
#define SAMPLE_WEIGHT 8.0
#define MEAN_WEIGHT 64.0
#define EJECTION_MS INT64_C(2000)
#define EJECTION_MOST_MS INT64_C(60000)
#define MAX_EJECTED_SHARE 0.2
/** After so long without another ejection the next one is short again. */
#define FORGET_MS INT64_C(60000)

/* Without another of the same reach, even a bad endpoint beats none. */
static gboolean has_other(const struct endpoint_table *t,
			  const struct endpoint *but)
{
	for (guint i = 0; i < t->endpoints->len; i++) {
		const struct endpoint *e = g_ptr_array_index(t->endpoints, i);

		if (e != but && e->state == ENDPOINT_LIVE &&
		    e->reach == but->reach)
			return TRUE;
	}
	return FALSE;
}

static gboolean may_eject(const struct endpoint_table *t,
			  const struct endpoint *e)
{
	uint32_t most = (uint32_t)(MAX_EJECTED_SHARE * t->endpoints->len);

	return t->ejected_count < MAX(most, 1) && has_other(t, e);
}

static int64_t ejection_ms(const struct endpoint *e)
{
	int64_t ms = EJECTION_MS;

	for (uint32_t i = 1; i < e->ejections && ms < EJECTION_MOST_MS; i++)
		ms *= 2;
	return MIN(ms, EJECTION_MOST_MS);
}

static gboolean eject(struct endpoint_table *t, struct endpoint *e,
		      int64_t now_ms)
{
	if (e->state != ENDPOINT_LIVE)
		return FALSE;
	if (e->returned_ms >= 0 && now_ms - e->returned_ms > FORGET_MS)
		e->ejections = 0;
	e->ejections++;
	e->ejected_until_ms = now_ms + ejection_ms(e);
	endpoint_table_set_state(t, e, ENDPOINT_EJECTED, now_ms);
	return TRUE;
}

static gboolean is_slow(struct outlier_policy *o, struct endpoint *e,
			enum request_class class, int64_t latency_us)
{
	double *mean_us = &o->mean_us[class];
	double ratio;

	if (*mean_us == 0)
		*mean_us = (double)latency_us;
	ratio = *mean_us > 0 ? (double)latency_us / *mean_us : 1;
	*mean_us += ((double)latency_us - *mean_us) / MEAN_WEIGHT;
	e->slowness += (MIN(ratio, MAX_RATIO) - e->slowness) / SAMPLE_WEIGHT;
	e->samples++;
	return e->samples >= MIN_SAMPLES && e->slowness > MAX_SLOWNESS;
}

gboolean outlier_record(struct outlier_policy *o, struct endpoint_table *t,
			struct endpoint *e, enum outlier_event event,
			enum request_class class, int64_t latency_us,
			int64_t now_ms)
{
	if (event == OUTLIER_REFUSED)
		return eject(t, e, now_ms);
	if (event == OUTLIER_FAILED) {
		e->failures++;
		return e->failures >= MAX_FAILURES && may_eject(t, e) &&
		       eject(t, e, now_ms);
	}
	e->failures = 0;
	e->latency_us += (latency_us - e->latency_us) / (int64_t)SAMPLE_WEIGHT;
	return is_slow(o, e, class, latency_us) && may_eject(t, e) &&
	       eject(t, e, now_ms);
}

void outlier_return(struct endpoint_table *t, int64_t now_ms)
{
	if (t->ejected_count == 0)
		return;
	for (guint i = 0; i < t->endpoints->len; i++) {
		struct endpoint *e = g_ptr_array_index(t->endpoints, i);

		if (e->state != ENDPOINT_EJECTED ||
		    now_ms < e->ejected_until_ms)
			continue;
		/* One more failure ejects it again. */
		e->failures = MAX_FAILURES - 1;
		e->slowness = 0;
		e->samples = 0;
		e->returned_ms = now_ms;
		endpoint_table_set_state(t, e, ENDPOINT_LIVE, now_ms);
	}
}
