#include "job/scan_pace.h"

#include <glib.h>

void scan_pace_init(struct scan_pace *p)
{
	*p = (struct scan_pace){
		.bytes.bytes_per_s = SCAN_PACE_BYTES_PER_S,
	};
}

void scan_pace_request_now(struct scan_pace *p)
{
	p->next_ms = 0;
}

void scan_pace_add(struct scan_pace *p, int64_t bytes, int64_t now_ms)
{
	byte_pace_add(&p->bytes, bytes, now_ms);
}

void scan_pace_schedule_next(struct scan_pace *p, int64_t now_ms)
{
	int64_t delay_ms = byte_pace_delay_ms(&p->bytes, 0, now_ms);

	p->next_ms = now_ms + MAX(delay_ms, SCAN_PACE_MIN_MS);
}
