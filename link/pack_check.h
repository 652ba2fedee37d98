/**
 * @file
 * Checks that the counts and lengths which msgpack bytes claim can be met by
 * the bytes there are. The library allocates by the claimed count before it
 * reads on, so that a few bytes could ask for gigabytes. Pure.
 */
#ifndef LINK_PACK_CHECK_H
#define LINK_PACK_CHECK_H

#include <glib.h>

/** Tells whether the bytes hold exactly one value as far as counts go. */
gboolean pack_check(const void *data, gsize bytes);

#endif
