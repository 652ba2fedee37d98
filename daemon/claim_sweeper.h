/**
 * @file
 * Deletes rows of the table "claims" that are old enough, as
 * request/claim_expiry.h has it. Every gateway walks the whole table from a
 * place of its own, held to a rate of bytes; nothing is agreed among them.
 */
#ifndef DAEMON_CLAIM_SWEEPER_H
#define DAEMON_CLAIM_SWEEPER_H

#include "base/counters.h"
#include "base/http_client.h"
#include "daemon/claim_store.h"
#include "request/claim_expiry.h"

/** Mean of the answers that one process may have for its walk. */
#define CLAIM_SWEEP_BYTES_PER_S INT64_C(8000)

struct claim_sweeper;

struct claim_sweeper_spec {
	struct platform *platform;
	struct http_client *http;
	struct claim_store *store;
	struct counters *counters;
	const char *node;
	int64_t retention_ms; /**< shortest life of a row */
};

/** The parts of the spec outlive the sweeper. */
struct claim_sweeper *claim_sweeper_new(const struct claim_sweeper_spec *spec);
void claim_sweeper_free(struct claim_sweeper *s);

/** Returns the epoch as it is known, owned by the sweeper. */
const struct claim_epoch *claim_sweeper_epoch(const struct claim_sweeper *s);

#endif
