/* What an instance uses and logs; included by tests/crowd.h. */
#ifndef MP_TESTS_CROWD_USAGE_H
#define MP_TESTS_CROWD_USAGE_H

#include <dirent.h>

/* Reads a file of an instance below /proc, at most n - 1 bytes. */
static inline void read_proc(int entry, const char *name, char *text, size_t n)
{
	char *path =
		g_strdup_printf("/proc/%d/%s", (int)sys.entries[entry], name);
	int fd = open(path, O_RDONLY);
	ssize_t len = fd < 0 ? 0 : read(fd, text, n - 1);

	text[len > 0 ? len : 0] = '\0';
	if (fd >= 0)
		close(fd);
	g_free(path);
}

static inline bool entry_lives(int entry)
{
	return waitpid(sys.entries[entry], NULL, WNOHANG) == 0;
}

/* Returns the highest resident memory of an instance so far, in bytes. */
static inline size_t entry_peak_memory(int entry)
{
	char text[4096];
	const char *line;
	size_t kib = 0;

	read_proc(entry, "status", text, sizeof(text));
	line = strstr(text, "VmHWM:");
	if (line)
		sscanf(line, "VmHWM: %zu", &kib);
	return kib * 1024;
}

/* Returns the processor time that an instance has used, in seconds. */
static inline double entry_cpu_s(int entry)
{
	unsigned long user = 0, kernel = 0;
	char text[4096];
	const char *rest;

	read_proc(entry, "stat", text, sizeof(text));
	rest = strrchr(text, ')');
	if (rest)
		sscanf(rest + 1,
		       " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &kernel);
	return (double)(user + kernel) / CLOCK_TICKS;
}

/* Returns the number of sockets that an instance has open. */
static inline unsigned entry_sockets(int entry)
{
	char *dir = g_strdup_printf("/proc/%d/fd", (int)sys.entries[entry]);
	DIR *d = opendir(dir);
	unsigned n = 0;

	for (struct dirent *e; d && (e = readdir(d));) {
		char *path = g_build_filename(dir, e->d_name, NULL);
		char *target = g_file_read_link(path, NULL);

		n += target && g_str_has_prefix(target, "socket:");
		g_free(target);
		g_free(path);
	}
	if (d)
		closedir(d);
	g_free(dir);
	return n;
}

/* Returns how many lines of an instance's log name an event. */
static inline unsigned entry_events(int entry, int event)
{
	char *name = g_strdup_printf("e%d.log", entry + 1);
	char *path = g_build_filename(sys.dir, name, NULL);
	char *want = g_strdup_printf(" ev=%d ", event);
	char *text = NULL;
	char **parts;
	unsigned n;

	g_file_get_contents(path, &text, NULL, NULL);
	parts = g_strsplit(text ? text : "", want, -1);
	n = g_strv_length(parts) - 1;
	g_strfreev(parts);
	g_free(text);
	g_free(want);
	g_free(path);
	g_free(name);
	return n;
}

#endif
