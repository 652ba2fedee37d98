/**
 * @file
 * What the kinds of platform share that are called over HTTP: one sender.
 */
#ifndef STORE_REMOTE_PLATFORM_H
#define STORE_REMOTE_PLATFORM_H

#include "store/call_sender.h"

struct remote_platform {
	struct platform base;
	struct call_sender *sender;
};

/** Returns a platform of a class, NULL when its address is no "IP:PORT". */
struct platform *remote_platform_new(const struct platform_class *class,
				     const struct platform_spec *spec);

/** Makes a call; its outcome is told once, never from within. */
void remote_platform_send(struct platform *base,
			  const struct platform_call_spec *spec);

/* Entries of the class table. */
void remote_platform_forget(struct platform *base, const void *data);
void remote_platform_free(struct platform *base);

#endif
