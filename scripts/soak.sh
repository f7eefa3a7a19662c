#!/usr/bin/env bash
# Runs the soak test with consecutive seeds and prints the result of each.
#   scripts/soak.sh [COUNT] [FIRST] [ARGUMENTS FOR rhubarb-soak...]
# COUNT: number of seeds, 50 by default. FIRST: the first seed; "fresh", the
# default, derives it from the current time, so that each run tests new seeds.
# Logs stay in build/soak/seed-N. Exit code 1: a seed failed.
set -euo pipefail
cd "$(dirname "$0")/.."
count=${1:-50}
first=${2:-fresh}
[ "$first" != fresh ] || first=$(($(date +%s) % 100000 + 100))
shift $(($# < 2 ? $# : 2))
failed=0
for ((seed = first; seed < first + count; ++seed)); do
  dir=build/soak/seed-$seed
  mkdir -p "$dir"
  if build/bin/rhubarb-soak --node=build/bin/rhubarb-node --seed="$seed" \
    --dir="$dir" --net=127.$((100 + seed % 90)) "$@" >"$dir/report.txt" 2>&1; then
    echo "seed $seed: $(tail -n 1 "$dir/report.txt")"
  else
    failed=$((failed + 1))
    echo "seed $seed: FAILED"
    cat "$dir/report.txt"
  fi
done
echo "$count seeds from $first, $failed failed"
[ "$failed" = 0 ]
