#!/usr/bin/env bash
# Prepares what the scripts of the cases start. The stand-ins are in Python and need no more than the
# libraries that the build command of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build command of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q standins review wasabidrum
PYTHONPATH=target/deps:. python3 -c "import review.rig, standins.platform_engine"
