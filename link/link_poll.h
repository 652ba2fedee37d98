/**
 * @file
 * Polls the sockets of all links through one epoll descriptor, so that the cost
 * of a main loop iteration doesn't grow with the number of links.
 */
#ifndef LINK_LINK_POLL_H
#define LINK_LINK_POLL_H

#include <glib.h>

struct link_poll;

typedef void (*link_watch_fn)(GIOCondition ready, void *data);

/** One socket; owned by the caller, who must remove it before closing @fd. */
struct link_watch {
	int fd;
	link_watch_fn fn;
	void *data;
};

struct link_poll *link_poll_new(void);

/** Frees a poll; all watches must have been removed. */
void link_poll_free(struct link_poll *p);

/** Starts to watch a socket for input. */
void link_poll_add(struct link_poll *p, struct link_watch *w);

/** Sets whether a socket is watched for output as well as for input. */
void link_poll_watch_output(struct link_poll *p, struct link_watch *w,
			    gboolean is_enabled);

/** Stops watching a socket; may be called from the callback of any watch. */
void link_poll_remove(struct link_poll *p, struct link_watch *w);

#endif
