#!/bin/sh
# Installs the Debian packages that the build and the tests need. Keep the list
# in step with .ci/run.
set -e
SUDO=
[ "$(id -u)" = 0 ] || SUDO=sudo
$SUDO apt-get update
$SUDO apt-get install -y build-essential pkg-config libck-dev libmsgpack-dev \
	zlib1g-dev libpopt-dev libglib2.0-dev libcmocka-dev libev-dev libhttp-parser-dev \
	clang-format clang-tidy curl
