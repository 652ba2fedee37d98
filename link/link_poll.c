#include "link/link_poll.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define BATCH 32

struct link_poll {
	int fd;
	guint source;
	/* Events under way: a removed watch is taken out of them. */
	struct epoll_event events[BATCH];
	int next;
	int count;
};

static GIOCondition condition_of(uint32_t events)
{
	GIOCondition ready = 0;

	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		ready |= G_IO_IN;
	if (events & EPOLLOUT)
		ready |= G_IO_OUT;
	return ready;
}

static gboolean on_ready(gint fd, GIOCondition condition, gpointer data)
{
	struct link_poll *p = data;

	p->count = epoll_wait(p->fd, p->events, BATCH, 0);
	for (p->next = 0; p->next < p->count;) {
		const struct epoll_event *e = &p->events[p->next++];
		const struct link_watch *w = e->data.ptr;

		if (w)
			w->fn(condition_of(e->events), w->data);
	}
	p->count = 0;
	return G_SOURCE_CONTINUE;
}

struct link_poll *link_poll_new(void)
{
	struct link_poll *p = g_new0(struct link_poll, 1);

	p->fd = epoll_create1(EPOLL_CLOEXEC);
	if (p->fd < 0)
		g_error("epoll_create1: %s", g_strerror(errno));
	p->source = g_unix_fd_add(p->fd, G_IO_IN, on_ready, p);
	return p;
}

void link_poll_free(struct link_poll *p)
{
	g_source_remove(p->source);
	close(p->fd);
	g_free(p);
}

static void control(const struct link_poll *p, int op, struct link_watch *w,
		    uint32_t events)
{
	struct epoll_event e = { .events = events, .data = { .ptr = w } };

	if (epoll_ctl(p->fd, op, w->fd, &e) < 0)
		g_error("epoll_ctl: %s", g_strerror(errno));
}

void link_poll_add(struct link_poll *p, struct link_watch *w)
{
	control(p, EPOLL_CTL_ADD, w, EPOLLIN);
}

void link_poll_want(struct link_poll *p, struct link_watch *w,
		    gboolean is_writing)
{
	control(p, EPOLL_CTL_MOD, w, EPOLLIN | (is_writing ? EPOLLOUT : 0));
}

void link_poll_remove(struct link_poll *p, struct link_watch *w)
{
	control(p, EPOLL_CTL_DEL, w, 0);
	for (int i = p->next; i < p->count; i++) {
		if (p->events[i].data.ptr == w)
			p->events[i].data.ptr = NULL;
	}
}
