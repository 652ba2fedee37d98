/**
 * @file
 * Checks the element counts and lengths in msgpack data against the size of the
 * data. The msgpack library allocates arrays and maps by the encoded count
 * before it reads the elements, so that a few bytes could make it allocate
 * gigabytes. No I/O.
 */
#ifndef LINK_PACK_CHECK_H
#define LINK_PACK_CHECK_H

#include <glib.h>

/** Returns TRUE if counts and lengths fit exactly one value in the bytes. */
gboolean pack_check(const void *data, gsize bytes);

#endif
