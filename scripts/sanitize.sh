#!/usr/bin/env bash
# Builds the unit tests with AddressSanitizer and UndefinedBehaviorSanitizer and
# runs them, a few suites at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-sanitize -G Ninja -DRHUBARB_SANITIZE=ON \
  -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g" >/dev/null
ninja -C build-sanitize --quiet rhubarb-tests
# Suites listed in KNOWN-RED.txt are passed over, as in test.sh.
known_red=$(sed -n 's/^test: unit\.\([a-z_]*\).*/\1/p' KNOWN-RED.txt | paste -sd,)
suites=$(build-sanitize/rhubarb-tests -lts ${known_red:+-tse="$known_red"} |
  grep -E '^[a-z_]+$')
run_suite() {
  local log=build-sanitize/$1.log
  if build-sanitize/rhubarb-tests -ts="$1" >"$log" 2>&1; then
    echo "sanitized $1: $(grep -a 'assertions:' "$log")"
  else
    cat "$log"
    echo "sanitized $1: FAILED"
    return 1
  fi
}
export -f run_suite
printf '%s\n' "$suites" | xargs -P 3 -I{} bash -c 'run_suite {}'
