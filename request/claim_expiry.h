/**
 * @file
 * When rows of the table "claims" may go. Time is counted in epochs, which a
 * row of their own has: a process that has known an epoch for a whole period by
 * its own clock may write the next one. No wall clock is compared with another.
 *
 * A row carries the epoch that its writer knew, which is less than a period
 * old, and may go CLAIM_EPOCHS_KEPT epochs later. So it is kept for a period at
 * least after its write was sent. Pure: no calls, no clock.
 */
#ifndef REQUEST_CLAIM_EXPIRY_H
#define REQUEST_CLAIM_EXPIRY_H

#include <glib.h>
#include <stdint.h>

#include "base/status.h"

#define CLAIM_EPOCH_TABLE "claim_epochs"
#define CLAIM_EPOCH_KEY "epoch"
#define CLAIM_EPOCHS_KEPT 3
/** Of a row whose writer knew none: it is given the present one first. */
#define CLAIM_EPOCH_NONE 0

/** The epoch as a process knows it. */
struct claim_epoch {
	int64_t period_ms;
	int64_t value;	  /**< CLAIM_EPOCH_NONE for not known */
	int64_t version;  /**< of its row */
	int64_t since_ms; /**< known so long */
	int64_t asked_ms; /**< when the last good read was sent */
};

enum claim_fate {
	CLAIM_FATE_KEEP,
	CLAIM_FATE_ADOPT, /**< is to be written with the present epoch */
	CLAIM_FATE_ASK,	  /**< may go once its claimant is known to be done */
	CLAIM_FATE_GO,
};

void claim_epoch_init(struct claim_epoch *e, int64_t period_ms);

/**
 * Takes a read of the row over.
 *
 * @param asked_ms	when it was sent
 * @param value		of the epoch, for STATUS_OK
 */
void claim_epoch_on_read(struct claim_epoch *e, enum status status,
			 int64_t value, int64_t version, int64_t asked_ms,
			 int64_t now_ms);

/** Tells whether the next epoch may be written from the version known. */
gboolean claim_epoch_may_advance(const struct claim_epoch *e, int64_t now_ms);

/** Returns the epoch for a row that is written now. */
int64_t claim_epoch_for_row(const struct claim_epoch *e, int64_t now_ms);

/**
 * Tells whether an attempt may still run when its claim has landed. A later one
 * may have missed a row that was deleted.
 */
gboolean claim_epoch_is_in_time(const struct claim_epoch *e, int64_t begin_ms,
				int64_t now_ms);

/** @param is_claimed	whether the row says that it may be running */
enum claim_fate claim_epoch_fate(const struct claim_epoch *e, int64_t row_epoch,
				 gboolean is_claimed, int64_t now_ms);

#endif
