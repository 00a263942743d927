#include <glib.h>

#include "core/request_digest.h"

/*
 * Returns a 64-bit digest of the parts of a request (method, host, caller,
 * target, body), which is the same on all instances. The length of each part
 * is hashed as well, so that text can't move from one part to the next. SHA-256
 * prevents callers from constructing a request with another one's digest.
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
