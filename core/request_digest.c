#include <glib.h>

#include "core/request_digest.h"

/*
 * request_digest() shortens the parts of a request (method, host, caller,
 * target, body) to 64 bits, the same on all instances; no part may run into
 * the next. SHA-256, as nobody must be able to find a request that shares
 * another one's digest.
 */
uint64_t request_digest(const struct lstr *parts, size_t n)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 bytes[32];
	gsize len = sizeof(bytes);
	uint64_t digest = 0;

	for (size_t i = 0; i < n; i++) {
		uint64_t part_len = GUINT64_TO_LE(parts[i].len);

		g_checksum_update(sum, (const guchar *)&part_len,
				  sizeof(part_len));
		if (parts[i].len)
			g_checksum_update(sum, (const guchar *)parts[i].ptr,
					  (gssize)parts[i].len);
	}
	g_checksum_get_digest(sum, bytes, &len);
	g_checksum_free(sum);
	for (size_t i = 0; i < sizeof(digest); i++)
		digest = digest << 8 | bytes[i];
	return digest;
}
