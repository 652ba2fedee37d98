/**
 * @file
 * The service "delegate": makes calls to workers on behalf of the holder of
 * the pool. HTTP calls cost far more processor time than deciding on them, so
 * that a large pool is reached through the VMs of its failure domains.
 *
 * A delegate decides nothing. A call that it has taken may have its effect even
 * if the holder never hears of it, like any call without an answer.
 */
#ifndef ENTRY_DELEGATE_H
#define ENTRY_DELEGATE_H

#include "base/kernel.h"

#define DELEGATE_SERVICE "delegate"

struct service *delegate_new(void);

#endif
