#!/usr/bin/env bash
# Builds the unit tests with AddressSanitizer and UndefinedBehaviorSanitizer and
# runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DRHUBARB_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g" >/dev/null
ninja -C build-sanitize --quiet rhubarb-tests
# Suites listed in KNOWN-RED.txt are passed over, as in test.sh.
known_red=$(sed -n 's/^test: unit\.\([a-z_]*\).*/\1/p' KNOWN-RED.txt | paste -sd,)
build-sanitize/rhubarb-tests ${known_red:+-tse="$known_red"}
