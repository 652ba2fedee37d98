/**
 * @file
 * Checks of bearer tokens: operators' tokens as they are, callers' tokens
 * against the hash that the configuration keeps.
 */
#ifndef CONFIG_BEARER_TOKEN_H
#define CONFIG_BEARER_TOKEN_H

#include <glib.h>

#include "config/config_doc.h"

/**
 * Returns the token of an Authorization header, or NULL when it has another
 * form or is missing. It points into the header.
 */
const char *bearer_token_of(const char *authorization);

/** Compares two secrets in a time that does not tell where they differ. */
gboolean bearer_token_equal(const char *a, const char *b);

/**
 * Tells whether a caller may act for an account: always when the account has
 * no token, else with a token of the right SHA-256.
 *
 * @param authorization	header of the request, may be NULL
 */
gboolean bearer_token_allows(const struct client_account *account,
			     const char *authorization);

#endif
