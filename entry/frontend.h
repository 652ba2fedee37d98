/**
 * @file
 * The service "frontend": the callers' interface on an entry VM. A job is
 * accepted once its row is in the store; what is answered of a job comes from
 * the store.
 */
#ifndef ENTRY_FRONTEND_H
#define ENTRY_FRONTEND_H

#include "base/kernel.h"

#define FRONTEND_SERVICE "frontend"

/** The row with the number of waiting jobs of each route. */
#define QUEUE_TABLE "queues"
#define QUEUE_KEY "waiting"

struct service *frontend_new(void);

#endif
