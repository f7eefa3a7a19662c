#!/usr/bin/env bash
# Builds the unit tests with AddressSanitizer and UndefinedBehaviorSanitizer and
# runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DRHUBARB_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g" >/dev/null
ninja -C build-sanitize --quiet rhubarb-tests
build-sanitize/rhubarb-tests
