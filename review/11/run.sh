#!/usr/bin/env bash
# Plays the case; see run.py and ../lab3/lab.py.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
exec python3 review/11/run.py
