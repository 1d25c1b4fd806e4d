#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start: the
# project's own and those of review/lab3. It needs the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q examples/standins review/lab3
python3 -c 'import examples.standins.site, review.lab3.lab'
