#!/bin/sh
# Checks formatting (clang-format, kernel style) and runs clang-tidy on all C
# files. Checks every file and shows all problems before it fails.
files=$(git ls-files '*.c' '*.h')
flags="-std=gnu11 -D_GNU_SOURCE -I. $(pkg-config --cflags glib-2.0 popt ck msgpack cmocka)"
failed=0
clang-format --dry-run --Werror $files || failed=1
echo "$files" | tr ' ' '\n' | grep '\.c$' |
	xargs -P "$(nproc)" -I{} sh -c "clang-tidy --quiet {} -- $flags 2>/dev/null" || failed=1
[ $failed -eq 0 ] && echo "lint: clean"
exit $failed
