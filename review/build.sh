#!/usr/bin/env bash
# Builds what the scripts of the review start. The stand-ins are the project's own, in Python, and
# need the packages of the deploy file's build only.
set -eu
cd "$(dirname "$0")/.."
[ target/deps -nt deploy/requirements.txt ] ||
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
PYTHONPATH="target/deps:." python3 -c "import bench.fleet, bench.standins.fleet_site"
PYTHONPATH="target/deps:." python3 -m compileall -q review bench/standins camphorchute
