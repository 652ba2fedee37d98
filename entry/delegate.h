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

#endif
