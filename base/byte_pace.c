#include "base/byte_pace.h"

#include <glib.h>

#include "base/util.h"

static void reduce_debt(struct byte_pace *p, int64_t now_ms)
{
	int64_t done = (now_ms - p->updated_ms) * p->bytes_per_s / MS_PER_S;

	p->debt_bytes = MAX(p->debt_bytes - done, 0);
	p->updated_ms = now_ms;
}

void byte_pace_add(struct byte_pace *p, int64_t bytes, int64_t now_ms)
{
	reduce_debt(p, now_ms);
	p->debt_bytes += bytes;
}

int64_t byte_pace_delay_ms(struct byte_pace *p, int64_t allowed_bytes,
			   int64_t now_ms)
{
	int64_t excess;

	reduce_debt(p, now_ms);
	excess = MAX(p->debt_bytes - allowed_bytes, 0);
	return excess * MS_PER_S / p->bytes_per_s;
}
