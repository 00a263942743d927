#include <stdio.h>

#include "stand/server.h"

/*
 * server_log_run() prints when a request of a workspace began to run, whose it
 * is, its id, and whether the key was passed on with it. The lines outlive the
 * process; tests/workspace_audit.awk reads those of all servers.
 */
void server_log_run(const struct http_message *m)
{
	struct lstr workspace = http_find_header(m, LSTR("Tenant-Name"));
	struct lstr key = http_find_header(m, LSTR("Api-Key"));
	struct lstr id = http_find_header(m, LSTR("Attempt-Id"));

	if (!workspace.ptr && !key.ptr)
		return;
	printf("run ms=%lld workspace=%.*s id=%.*s key=%s bytes=%zu\n",
	       (long long)(g_get_real_time() / 1000), (int)workspace.len,
	       workspace.ptr ? workspace.ptr : "", (int)id.len, id.ptr,
	       key.ptr ? "present" : "absent", m->body.len);
	(void)fflush(stdout);
}
