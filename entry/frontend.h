/**
 * @file
 * The service "frontend": the HTTP interface for clients on an entry VM. A job
 * is accepted once its row is stored; its state is read from the store.
 */
#ifndef ENTRY_FRONTEND_H
#define ENTRY_FRONTEND_H

#include "base/kernel.h"

#define FRONTEND_SERVICE "frontend"

/** Table and key of the row that counts the waiting jobs of each route. */
#define QUEUE_TABLE "queues"
#define QUEUE_KEY "waiting"

struct service *frontend_new(void);

#endif
