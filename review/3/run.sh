#!/bin/sh
# Case 3; claim.txt describes it. Exit status: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || { echo "run review/build.sh first"; exit 2; }
CASE_FOLDER="$PWD/review/3" exec target/review/case-3
