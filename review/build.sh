#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python and run on the libraries that the
# deploy file's own build has put into target/deps, so compiling them is all there is.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common standins papayaward/coordination papayaward/transport
