#!/bin/sh
# Formatting (clang-format, kernel style) and lint (clang-tidy) over all C;
# every file is checked and all problems are shown before it fails.
files=$(git ls-files '*.c' '*.h')
flags="-std=gnu11 -D_GNU_SOURCE -I. $(pkg-config --cflags glib-2.0 popt ck msgpack cmocka)"
bad=0
clang-format --dry-run --Werror $files || bad=1
echo "$files" | tr ' ' '\n' | grep '\.c$' |
	xargs -P "$(nproc)" -I{} sh -c "clang-tidy --quiet {} -- $flags 2>/dev/null" || bad=1
[ $bad -eq 0 ] && echo "lint: clean"
exit $bad
