/**
 * @file
 * The platform behind an HTTP interface with JSON bodies, as
 * docs/PROTOCOLS.md has it.
 */
#ifndef STORE_HTTP_PLATFORM_H
#define STORE_HTTP_PLATFORM_H

#include "store/platform.h"

/** Returns a new platform of kind "http", or NULL with the last message. */
struct platform *http_platform_new(const struct platform_spec *spec);

#endif
