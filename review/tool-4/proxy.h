/**
 * @file
 * A TCP proxy that can end its connections and refuse new ones.
 */
#ifndef REVIEW_PROXY_H
#define REVIEW_PROXY_H

#include <glib.h>

struct proxy;

/** Listens at a free port; ends the script with status 2 if that fails. */
struct proxy *proxy_new(const char *target);

/** Returns the address to call. */
const char *proxy_address(const struct proxy *p);

/** Refuses new connections, or accepts them again. */
void proxy_refuse(struct proxy *p, gboolean is_refusing);

/** Ends all connections, and refuses new ones until proxy_refuse(). */
void proxy_cut(struct proxy *p);

#endif
