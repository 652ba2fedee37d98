#include "request/outlier.h"

#include "base/util.h"

/** Consecutive failures that eject an endpoint. */
#define MAX_FAILURES 3
/** Latency relative to the class mean above which an endpoint is an outlier. */
#define MAX_SLOWNESS 4.0
/** Limits the ratio of one answer, so that a single slow one ejects nothing. */
#define MAX_RATIO (2 * MAX_SLOWNESS)
/** Latency samples before an endpoint can be an outlier. */
#define MIN_SAMPLES 10
/** Window of the moving averages of one endpoint. */
#define ENDPOINT_EWMA_SAMPLES 8.0
/** Window of the moving average of one class over all endpoints. */
#define CLASS_EWMA_SAMPLES 64.0
#define EJECTION_MIN_MS INT64_C(2000)
#define EJECTION_MAX_MS INT64_C(60000)
#define MAX_EJECTED_SHARE 0.2
/** Time without an ejection after which the next one is short again. */
#define EJECTION_RESET_MS INT64_C(60000)

/*
 * Returns TRUE if another endpoint of the same reach is live. Without one, a
 * bad endpoint is better than none and isn't ejected.
 */
static gboolean has_other_live(const struct endpoint_table *t,
			       const struct endpoint *e)
{
	for (guint i = 0; i < t->endpoints->len; i++) {
		const struct endpoint *other =
			g_ptr_array_index(t->endpoints, i);

		if (other != e && other->state == ENDPOINT_LIVE &&
		    other->reach == e->reach)
			return TRUE;
	}
	return FALSE;
}

static gboolean may_eject(const struct endpoint_table *t,
			  const struct endpoint *e)
{
	uint32_t max_ejected =
		(uint32_t)(MAX_EJECTED_SHARE * t->endpoints->len);

	return t->ejected_count < MAX(max_ejected, 1) && has_other_live(t, e);
}

static int64_t ejection_ms(const struct endpoint *e)
{
	int64_t ms = EJECTION_MIN_MS;

	for (uint32_t i = 1; i < e->ejections && ms < EJECTION_MAX_MS; i++)
		ms *= 2;
	return MIN(ms, EJECTION_MAX_MS);
}

static gboolean eject(struct endpoint_table *t, struct endpoint *e,
		      int64_t now_ms)
{
	if (e->state != ENDPOINT_LIVE)
		return FALSE;
	if (e->readmitted_ms >= 0 &&
	    now_ms - e->readmitted_ms > EJECTION_RESET_MS)
		e->ejections = 0;
	e->ejections++;
	e->ejected_until_ms = now_ms + ejection_ms(e);
	endpoint_table_set_state(t, e, ENDPOINT_EJECTED, now_ms);
	return TRUE;
}

/* Adds a latency sample; returns TRUE if the endpoint is an outlier. */
static gboolean update_slowness(struct outlier_policy *o, struct endpoint *e,
				enum request_class class, int64_t latency_us)
{
	double *mean_us = &o->mean_us[class];
	double ratio;

	if (*mean_us == 0)
		*mean_us = (double)latency_us;
	ratio = *mean_us > 0 ? (double)latency_us / *mean_us : 1;
	*mean_us += ((double)latency_us - *mean_us) / CLASS_EWMA_SAMPLES;
	e->slowness +=
		(MIN(ratio, MAX_RATIO) - e->slowness) / ENDPOINT_EWMA_SAMPLES;
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
	e->latency_us +=
		(latency_us - e->latency_us) / (int64_t)ENDPOINT_EWMA_SAMPLES;
	return update_slowness(o, e, class, latency_us) && may_eject(t, e) &&
	       eject(t, e, now_ms);
}

void outlier_readmit(struct endpoint_table *t, int64_t now_ms)
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
		e->readmitted_ms = now_ms;
		endpoint_table_set_state(t, e, ENDPOINT_LIVE, now_ms);
	}
}
