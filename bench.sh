#!/usr/bin/env bash
# Runs every bench: one table with target, figure, baseline and verdict, and
# bench-results.json beside it. Exits 1 when a target is missed.
set -euo pipefail
cd "$(dirname "$0")"
./scripts/install.sh
./scripts/build.sh
build/rhubarb-bench build/bench-results.json
