#include "link/link_poll.h"

#include <errno.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#define MAX_EVENTS 32

struct link_poll {
	int fd;
	guint source;
	/*
	 * The batch being dispatched; link_poll_remove() clears the remaining
	 * events of a removed watch.
	 */
	struct epoll_event events[MAX_EVENTS];
	int next_event;
	int event_count;
};

static GIOCondition to_gio_condition(uint32_t events)
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

	p->event_count = epoll_wait(p->fd, p->events, MAX_EVENTS, 0);
	for (p->next_event = 0; p->next_event < p->event_count;) {
		const struct epoll_event *e = &p->events[p->next_event++];
		const struct link_watch *w = e->data.ptr;

		if (w)
			w->fn(to_gio_condition(e->events), w->data);
	}
	p->event_count = 0;
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

static void epoll_update(const struct link_poll *p, int op,
			 struct link_watch *w, uint32_t events)
{
	struct epoll_event e = { .events = events, .data = { .ptr = w } };

	if (epoll_ctl(p->fd, op, w->fd, &e) < 0)
		g_error("epoll_ctl: %s", g_strerror(errno));
}

void link_poll_add(struct link_poll *p, struct link_watch *w)
{
	epoll_update(p, EPOLL_CTL_ADD, w, EPOLLIN);
}

void link_poll_watch_output(struct link_poll *p, struct link_watch *w,
			    gboolean is_enabled)
{
	epoll_update(p, EPOLL_CTL_MOD, w,
		     EPOLLIN | (is_enabled ? EPOLLOUT : 0));
}

void link_poll_remove(struct link_poll *p, struct link_watch *w)
{
	epoll_update(p, EPOLL_CTL_DEL, w, 0);
	for (int i = p->next_event; i < p->event_count; i++) {
		if (p->events[i].data.ptr == w)
			p->events[i].data.ptr = NULL;
	}
}
