/**
 * @file
 * A crowd of clients that keep no limits: many connections that send bytes and
 * read nothing, and a record of what the process they are connected to uses.
 */
#ifndef TESTS_CROWD_H
#define TESTS_CROWD_H

#include <glib.h>
#include <stdint.h>

#include "tests/cluster.h"

/** What each client of a crowd sends. */
struct crowd_message {
	GString *start; /**< sent first */
	GString *block; /**< then sent again and again; empty: nothing more */
	gsize bytes;	/**< in all; the block is cut off */
};

/** The largest values that were seen. */
struct process_usage_peak {
	int64_t memory_kb; /**< resident, VmHWM */
	int64_t queued_kb; /**< sent and received bytes the kernel holds */
	guint descriptors;
};

/**
 * Connects clients to each address, lets each send its message as far as the
 * server takes it, and holds the connections. Clients whose connection was
 * closed don't return. All connections are closed on return.
 *
 * @param addresses	NULL-terminated
 * @param connections	to each address
 * @param process	whose use is recorded meanwhile
 */
struct process_usage_peak crowd_run(const char *const *addresses,
				    guint connections,
				    const struct crowd_message *message,
				    const struct cluster_process *process);

#endif
