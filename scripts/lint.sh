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
# g++ 12 destroys some temporaries of co_await expressions twice. The query does
# not see one that stands beside a co_await in the same expression.
awaiting=$(grep -l co_await $sources)
printf '%s\n' $awaiting | xargs -P "$(nproc)" -n 1 clang-query -p build-lint \
  -f scripts/awaited-temporaries.query >build-lint/query.txt 2>&1
if grep -A 3 -e 'binds here' -e 'error:' build-lint/query.txt; then
  echo "lint: a co_await expression makes a temporary that g++ 12 destroys twice;" \
    "pass a named variable or the result of a function" >&2
  exit 1
fi
echo "lint: clean"
