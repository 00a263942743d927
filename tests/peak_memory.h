/* The memory that a test program has used. */
#ifndef MP_TESTS_PEAK_MEMORY_H
#define MP_TESTS_PEAK_MEMORY_H

#include <stdio.h>
#include <string.h>

#include <glib.h>

/* Returns the highest resident memory so far, in bytes. */
static inline size_t peak_memory(void)
{
	char *status;
	size_t kib = 0;

	g_file_get_contents("/proc/self/status", &status, NULL, NULL);
	sscanf(strstr(status, "VmHWM:"), "VmHWM: %zu", &kib);
	g_free(status);
	return kib * 1024;
}

#endif
