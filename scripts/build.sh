#!/usr/bin/env bash
# Configures the project and builds all targets in build/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
ninja -C build --quiet
