/**
 * @file
 * Waits for the sockets of all links behind one descriptor, so that a turn of
 * the main loop costs the same for few links and for many.
 */
#ifndef LINK_LINK_POLL_H
#define LINK_LINK_POLL_H

#include <glib.h>

struct link_poll;

typedef void (*link_watch_fn)(GIOCondition ready, void *data);

/** One socket; owned by the caller, who removes it before closing. */
struct link_watch {
	int fd;
	link_watch_fn fn;
	void *data;
};

struct link_poll *link_poll_new(void);
/** All watches must have been removed. */
void link_poll_free(struct link_poll *p);

/** Watches a socket for input. */
void link_poll_add(struct link_poll *p, struct link_watch *w);
/** Watches it for output too while @is_writing. */
void link_poll_want(struct link_poll *p, struct link_watch *w,
		    gboolean is_writing);
/** May be called by a watch's own function or that of another one. */
void link_poll_remove(struct link_poll *p, struct link_watch *w);

#endif
