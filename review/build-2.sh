#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start: the entry processes and the stand-ins.
set -eu
cd "$(dirname "$0")/.."
if ! PYTHONPATH=target/deps python3 -c "import gevent, msgspec, click, websockets" 2>/dev/null; then
    rm -rf target/deps
    python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
fi
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
python3 -m compileall -q camphorchute bench/standins bench/tcp_proxy.py review/lab.py
python3 -c "import lab, bench.standins.fleet_site"
python3 -m camphorchute --help >/dev/null
echo "built"
