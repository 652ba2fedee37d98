/**
 * @file
 * The service "store": gives the services of an entry VM's process access to
 * the settings and to the platform's store.
 */
#ifndef ENTRY_ENTRY_STORE_H
#define ENTRY_ENTRY_STORE_H

#include "base/kernel.h"
#include "entry/entry_settings.h"
#include "store/platform.h"

#define ENTRY_STORE_SERVICE "store"

/** Returns the service; the settings must outlive it. */
struct service *entry_store_new(const struct entry_settings *settings);

const struct entry_settings *entry_settings_of(const struct kernel *k);
struct platform *entry_platform_of(const struct kernel *k);

#endif
