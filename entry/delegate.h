/**
 * @file
 * The service "delegate": makes HTTP calls to workers on behalf of the holder
 * of the pool. The calls cost far more processor time than scheduling itself,
 * so the holder of a large pool spreads them over the VMs of the workers'
 * failure domains.
 *
 * A delegate makes no scheduling decisions. A call that it has accepted may
 * take effect even if its reply never reaches the holder, like any call
 * without an answer.
 */
#ifndef ENTRY_DELEGATE_H
#define ENTRY_DELEGATE_H

#include "base/kernel.h"

#define DELEGATE_SERVICE "delegate"

struct service *delegate_new(void);

/**
 * Tells the delegate what a scan has read of its own row in DELEGATE_TABLE. The
 * row is written again if it is missing or not its own: holders remove the rows
 * of VMs that they don't reach for long, and this VM may only have been cut
 * off.
 *
 * @param row	NULL if the row is missing
 */
void delegate_check_row(const struct kernel *k, json_object *row);

#endif
