/**
 * @file
 * Checks bearer tokens: operators' tokens are compared as plain text, callers'
 * tokens by the SHA-256 hash in the configuration.
 */
#ifndef CONFIG_BEARER_TOKEN_H
#define CONFIG_BEARER_TOKEN_H

#include <glib.h>

#include "config/config_doc.h"

/**
 * Returns the token of an Authorization header, or NULL when the header is
 * missing or not of the form "Bearer TOKEN". The result points into the header.
 */
const char *bearer_token_of(const char *authorization);

/**
 * Returns TRUE if two secrets are equal. Secrets of the same length are
 * compared in constant time, so that the time taken does not show where they
 * differ.
 */
gboolean bearer_token_equal(const char *a, const char *b);

/**
 * Returns TRUE if a caller may act for an account: the account has no token, or
 * the SHA-256 of the caller's token matches that of the account.
 *
 * @param authorization	Authorization header of the request, may be NULL
 */
gboolean bearer_token_allows(const struct client_account *account,
			     const char *authorization);

#endif
