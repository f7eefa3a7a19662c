#!/usr/bin/env bash
# Checks the formatting of all C++ files and lints all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror $files
# clang-tidy can't read precompiled headers made by g++, so a separate build tree
# disables them.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  -DCMAKE_CXX_COMPILER_LAUNCHER= >/dev/null
sources=$(git ls-files '*.cpp' | grep -v -e RpcClientCodec -e '^examples/outside/')
printf '%s\n' $sources | xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet \
  2>/dev/null >build-lint/tidy.txt || { cat build-lint/tidy.txt; exit 1; }
echo "lint: clean"
