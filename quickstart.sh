#!/usr/bin/env bash
# Builds the system, starts a small deployment on loopback, and sends mixed traffic.
# Kills one entry VM and one backend server halfway, and checks that no request was
# doubled, lost or falsely refused.
#   ./quickstart.sh [--deployment drevorez|kartograf] [--seconds N]
set -euo pipefail
cd "$(dirname "$0")"

deployment=drevorez
seconds=10
while [ $# -gt 0 ]; do
  case "$1" in
  --deployment) deployment=$2; shift 2 ;;
  --seconds) seconds=$2; shift 2 ;;
  *) echo "usage: ./quickstart.sh [--deployment drevorez|kartograf] [--seconds N]" >&2; exit 2 ;;
  esac
done

./scripts/install.sh
./scripts/build.sh
source scripts/deployment.sh
trap stop_all EXIT

start_deployment "$deployment"
ctl apply "examples/$deployment.ini" --wait

echo "waiting 3 s while the backend servers' slots open"
sleep 3
echo "sending for $seconds s; killing one entry VM and one backend server"
pids=()
index=0
for vm in $(first_vm_of_each_domain); do
  index=$((index + 1))
  "$bin/rhubarb-call" mix $(rates_of "$deployment") --seconds="$seconds" \
    --lookup="$(lookups_from "$vm")" --seed=$index \
    --results="$run/results-$index" >"$run/mix-$index.txt" &
  pids+=($!)
done
sleep $((seconds / 2))
kill_vm "$(entry_vm_to_kill)"
kill_backend "$(backend_to_kill)"
for pid in "${pids[@]}"; do wait "$pid"; done

"$bin/rhubarb-call" verify --runs="$run/runs" "$run"/results-*
