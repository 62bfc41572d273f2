#!/usr/bin/env bash
# Plays the script of one case, given by its folder, with the logs in a temporary folder.
folder=$1
cd "$folder/../.." || exit 2
CASE_LOGS=$(mktemp -d) || exit 2
export CASE_LOGS PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
timeout 118 python3 "$folder/case.py"
status=$?
rm -rf "$CASE_LOGS"
case $status in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
