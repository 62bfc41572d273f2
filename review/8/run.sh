#!/usr/bin/env bash
# Plays the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec bash "$(dirname "$0")/../run-case.sh" "$(cd "$(dirname "$0")" && pwd)"
