/**
 * @file
 * Sends calls to the platform when the gate lets them pass, most urgent first,
 * and refuses those that would wait too long.
 */
#ifndef STORE_CALL_SENDER_H
#define STORE_CALL_SENDER_H

#include "store/platform.h"
#include "store/platform_call.h"

struct call_sender;

struct call_sender *call_sender_new(const struct platform_spec *spec);

/** Frees the sender; calls that wait or are in flight end untold. */
void call_sender_free(struct call_sender *s);

/** Makes a call; its outcome is told once, never from within. */
void call_sender_send(struct call_sender *s,
		      const struct platform_call_spec *spec);

/** Drops the callbacks of all calls that have this data. */
void call_sender_forget(struct call_sender *s, const void *data);

#endif
