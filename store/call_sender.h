/**
 * @file
 * Queues calls to the platform by priority, sends them when the gate permits
 * and refuses those that have waited too long.
 */
#ifndef STORE_CALL_SENDER_H
#define STORE_CALL_SENDER_H

#include "store/platform.h"
#include "store/platform_call.h"

struct call_sender;

struct call_sender *call_sender_new(const struct platform_spec *spec);

/** Frees the sender; queued calls and calls in flight end without callback. */
void call_sender_free(struct call_sender *s);

/**
 * Queues a call and sends it once permitted. The callback is called once,
 * never from within this function.
 */
void call_sender_send(struct call_sender *s,
		      const struct platform_call_spec *spec);

/** Drops the callbacks of all pending calls whose data is this pointer. */
void call_sender_forget(struct call_sender *s, const void *data);

#endif
