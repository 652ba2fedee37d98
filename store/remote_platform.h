/**
 * @file
 * Base class of the platforms that are called over HTTP; it owns the sender.
 */
#ifndef STORE_REMOTE_PLATFORM_H
#define STORE_REMOTE_PLATFORM_H

#include "store/call_sender.h"

struct remote_platform {
	struct platform base;
	struct call_sender *sender;
};

/**
 * Returns a new platform of a class, or NULL with the last error message set if
 * the address is not "IP:PORT".
 */
struct platform *remote_platform_new(const struct platform_class *class,
				     const struct platform_spec *spec);

/** Sends a call; see call_sender_send(). */
void remote_platform_send(struct platform *base,
			  const struct platform_call_spec *spec);

/* Entries of the class table. */
void remote_platform_forget(struct platform *base, const void *data);
void remote_platform_free(struct platform *base);

#endif
