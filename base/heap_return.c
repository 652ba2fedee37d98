#include "base/heap_return.h"

gboolean heap_return_is_due(struct heap_return *h, int64_t unused_bytes)
{
	h->unreturned_bytes = MIN(h->unreturned_bytes, unused_bytes);
	return unused_bytes >=
	       h->unreturned_bytes + HEAP_RETURN_THRESHOLD_BYTES;
}

void heap_return_record_unused(struct heap_return *h, int64_t unused_bytes)
{
	h->unreturned_bytes = unused_bytes;
}
