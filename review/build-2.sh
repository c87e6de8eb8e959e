#!/bin/sh
# Builds the stand-ins of the cases review/6 and later. They are Python scripts of the standard library alone
# (review/support2), so there is nothing to compile on any kind of machine: this checks that they can be run, and that the
# build of the deploy file has left the program.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "build-2.sh: python3, 3.8 or later, is needed"; exit 1; }
for file in review/support2/*.py review/[6-9]/play.py review/10/play.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
[ -x target/release/cleatpulley ] || { echo "build-2.sh: run the build of deploy/balancer.toml first"; exit 1; }
echo "the stand-ins can be run"
