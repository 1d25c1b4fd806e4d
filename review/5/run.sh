#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
number=$(basename "$folder")
exec python3 -m "review.$number.case"
