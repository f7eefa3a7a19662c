#!/usr/bin/env bash
# Installs the library into a separate prefix, builds examples/outside against
# the installed package, and runs the result.
set -euo pipefail
cd "$(dirname "$0")/.."
prefix=$PWD/build/package
rm -rf "$prefix" build/outside
cmake --install build --prefix "$prefix" >/dev/null
cmake -S examples/outside -B build/outside -G Ninja -DCMAKE_PREFIX_PATH="$prefix" >/dev/null
ninja -C build/outside >/dev/null
build/outside/embed
