#!/bin/sh
# Compiles the stand-ins that the scripts of cases 6 to 10 start. They run from
# source, on the libraries that the build of the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo 'run the build of deploy/system.toml first' >&2
    exit 1
}
python3 -m compileall -q examples/standins review
PYTHONPATH="target/deps:." python3 -c \
    'import review.lab2.lab, review.lab2.workers'
