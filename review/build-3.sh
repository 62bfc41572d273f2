#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can be started with the dependencies of the deploy build.
# They are Python modules of this repository (bench/standins, bench/tcp_proxy.py, review/site3.py) and need no
# compilation and no package beyond those of deploy/requirements.txt.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:.:review" python3 -c "import site3; print('stand-ins of review 3 are ready')"
