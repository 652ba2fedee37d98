/**
 * @file
 * A TCP proxy of a stand-in that can refuse new connections while the open ones
 * go on, for all callers or for the processes of another zone.
 */
#ifndef REVIEW_PROXY_H
#define REVIEW_PROXY_H

#include <glib.h>

struct proxy;

/** Returns TRUE if a connection from this process is let through. */
typedef gboolean (*proxy_admits)(GPid caller, void *data);

/** Listens at a free port; exits with status 2 if that can't be done. */
struct proxy *proxy_new(const char *target, proxy_admits admits, void *data);

/** Returns the address to call. */
const char *proxy_address(const struct proxy *p);

/** Refuses new connections of all callers, or accepts them again. */
void proxy_refuse(struct proxy *p, gboolean is_refusing);

/** Finds which of these processes owns the local end at a loopback port. */
GPid proxy_owner(guint16 port, const GPid *pids, guint count);

#endif
