#include "base/heap_return.h"

gboolean heap_return_is_due(struct heap_return *h, int64_t unused_bytes)
{
	h->left_bytes = MIN(h->left_bytes, unused_bytes);
	return unused_bytes >= h->left_bytes + HEAP_RETURN_SLACK_BYTES;
}

void heap_return_on_done(struct heap_return *h, int64_t unused_bytes)
{
	h->left_bytes = unused_bytes;
}
