/**
 * @file
 * Client of a platform with an HTTP interface and JSON bodies; see
 * docs/PROTOCOLS.md.
 */
#ifndef STORE_HTTP_PLATFORM_H
#define STORE_HTTP_PLATFORM_H

#include "store/platform.h"

/**
 * Returns a new platform of kind "http", or NULL with the last error message
 * set.
 */
struct platform *http_platform_new(const struct platform_spec *spec);

#endif
