#!/usr/bin/env bash
# Installs, builds and runs all benchmarks. Prints one table with target, measured
# value, baseline and verdict, and writes build/bench-results.json. Exits with 1
# when a target is missed.
set -euo pipefail
cd "$(dirname "$0")"
./scripts/install.sh
./scripts/build.sh
build/rhubarb-bench build/bench-results.json
