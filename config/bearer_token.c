#include "config/bearer_token.h"

#include <string.h>

#define BEARER_PREFIX "Bearer "

const char *bearer_token_of(const char *authorization)
{
	if (!authorization || !g_str_has_prefix(authorization, BEARER_PREFIX))
		return NULL;
	return authorization + strlen(BEARER_PREFIX);
}

gboolean bearer_token_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char differences = 0;

	if (strlen(b) != len)
		return FALSE;
	for (size_t i = 0; i < len; i++)
		differences |= (unsigned char)(a[i] ^ b[i]);
	return differences == 0;
}

gboolean bearer_token_allows(const struct client_account *account,
			     const char *authorization)
{
	const char *token = bearer_token_of(authorization);
	gboolean is_allowed;
	char *digest;

	if (!account->token_sha256)
		return TRUE;
	if (!token)
		return FALSE;
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	is_allowed = bearer_token_equal(digest, account->token_sha256);
	g_free(digest);
	return is_allowed;
}
