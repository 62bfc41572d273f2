#!/bin/sh
# Plays the case of a folder with the dependencies of the deploy build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:." exec python3 "review/$1/case.py"
