/**
 * @file
 * Accounts' guarantees of accelerators for urgent work, in one placement round.
 *
 * For any shape of jobs and any order of events:
 *
 * - A guarantee covers the account's urgent work (priority 0) up to its number
 *   of accelerators: what is placed first, then what waits, in the order of
 *   acceptance. It covers a gang whole or not at all, other steps by task.
 *
 * - Covered work that waits may take capacity back from other accounts' urgent
 *   work beyond their guarantees. Lower priorities are stopped first, as for
 *   all urgent work, and of each priority the work that loses the least.
 *
 * - An account keeps as many accelerators as its guarantee covers of its placed
 *   work. A gang that is larger than the guarantee is beyond it as a whole.
 *
 * - Urgent work that isn't covered stops only work of lower priority.
 */
#ifndef SCHED_FLEET_GUARANTEE_H
#define SCHED_FLEET_GUARANTEE_H

#include "sched/fleet_round.h"

/** Use of a guarantee; each account with placed or waiting urgent work has one.
 */
struct fleet_account;

/** Returns a table of struct fleet_account by name, with the placed work. */
GHashTable *fleet_accounts_new(const struct fleet_scheduler *s);

/**
 * Marks the units within their accounts' guarantees. Divides a unit that is
 * only partly covered, unless it is a gang.
 *
 * @param units		of struct fleet_unit, in the order of acceptance
 */
void fleet_accounts_cover(const struct fleet_round *r, GPtrArray *units);

/** Begins a search for stops: forgets what the last one took, unless kept. */
void fleet_accounts_begin_search(const struct fleet_round *r);

/** Keeps what the search has taken, for the rest of the round. */
void fleet_accounts_keep_search(const struct fleet_round *r);

/**
 * Takes the capacity of another account's urgent task, or of its whole gang,
 * within the current search.
 *
 * @param u	a covered unit
 * @return	FALSE, with nothing taken, if the task's account would keep too
 *		little
 */
gboolean fleet_account_take(const struct fleet_round *r,
			    const struct fleet_unit *u,
			    const struct fleet_task *t);

/** Undoes fleet_account_take(). */
void fleet_account_give_back(const struct fleet_round *r,
			     const struct fleet_task *t);

#endif
