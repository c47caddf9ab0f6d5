#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10: plain Python modules that
# need the standard library only.
set -eu
cd "$(dirname "$0")"
for name in fleet2.py 6 7 8 9 10; do
  [ ! -e "$name" ] || python3 -m compileall -q "$name"
done
