#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:.
exec python3 review/5/case.py
