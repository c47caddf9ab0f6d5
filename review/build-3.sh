#!/usr/bin/env bash
# Prepares the stand-ins of the third review. They are Python modules that use the
# libraries of the deploy file's build (target/deps).
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:review/harness-3:.
python3 -m compileall -q standins review/harness-3 &&
    python3 -c "import observed_upstream, small_fleet"
