#!/usr/bin/env bash
# Ablation study: runs the standard days of a site on the users' bench with one
# mechanism disabled at a time. Prints for each: mean worth over the days with
# failures, mean difference to the complete system and its standard error, worth of
# the quiet day, and violated rules.
#   scripts/ablation.sh BENCH SITE [SEEDS [JOBS [NAME...]]]
# BENCH: program of the bench. NAME: mechanism as `rhubarb-node --without` takes it,
# all by default. Runs in a clone of the last commit; the journal entries are
# written to the clone.
set -euo pipefail
[ $# -ge 2 ] || { sed -n '2,9p' "$0"; exit 2; }
bench=$(realpath "$1") site=$(realpath "$2") seeds=${3:-2} jobs=${4:-4}
shift $(($# < 4 ? $# : 4))
all="candidates spill queue_inside waiting astray lines cold_waste adoption
  usual_load run_times round_trips places_told loads_told memory"
repo=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
copy=$(mktemp -d /tmp/ablation-XXXXXX)
git clone -q "$repo" "$copy/repo"
cd "$copy/repo"
"$bench" build | tail -1
days="quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3"

run_day() { # name day seed
  local seed=()
  [ "$3" -gt 0 ] && seed=(--seed "$3")
  "$bench" run "$site" "$2" --no-cpu "${seed[@]}" \
    --why "ablation: without $1, $2, seed $3" >"$copy/$1-$2-$3" 2>&1
}
export -f run_day
export bench site copy

for name in whole ${@:-$all}; do
  option=; [ "$name" = whole ] || option=" --without=$name"
  git checkout -q deploy/system.toml
  sed -i "s/\(rhubarb-node --metrics-port=9464\)/\1$option/" deploy/system.toml
  for seed in $(seq 0 $((seeds - 1))); do
    for day in $days; do echo "$name $day $seed"; done
  done | xargs -P "$jobs" -L 1 bash -c 'run_day "$@"' _
  for seed in $(seq 0 $((seeds - 1))); do
    for day in $days; do
      awk -v d="$day" -v s="$seed" '$1 == d && $2 ~ /\// {print d, s, $4}' \
        "$copy/$name-$day-$seed"
    done
  done >"$copy/$name"
  broken=$(awk 'match($0, /BROKEN: [A-Z]+/) {
      print substr($0, RSTART, RLENGTH)}' "$copy/$name"-* | sort | uniq -c |
    tr -s '\n ' ' ')
  awk -v name="$name" -v broken="$broken" '
    NR == FNR {base[$1 " " $2] = $3; next}
    $1 ~ /^quiet/ {quiet += $3; quiets++; next}
    {d = $3 - base[$1 " " $2]; sum += $3; n++; ds += d; dq += d * d}
    END {m = ds / n; se = n > 1 ? sqrt((dq / n - m * m) / (n - 1)) : 0
      printf "%-13s %.3f  %+.3f (%.3f)  quiet %.3f %s\n", name, sum / n, m, se,
        quiet / quiets, broken}' "$copy/whole" "$copy/$name"
done
echo "journal entries: $copy/repo/journal"
