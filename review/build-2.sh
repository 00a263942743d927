#!/bin/bash
# Builds all that the scripts of review/4 to review/6 start: the program itself,
# which has the stand-ins as roles.
set -eu
cd "$(dirname "$0")/.."
make -j8 target/mimosapitch
