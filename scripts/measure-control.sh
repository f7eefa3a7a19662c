#!/usr/bin/env bash
# Measures the cost of the control plane per agent (rhubarb-steer). Starts DOMAINS
# x VMS agents on loopback with a stand-in platform, waits 15 s for them to settle,
# and prints means over a 10 s window.
#   scripts/measure-control.sh DOMAINS VMS [--set=steer.KEY=VALUE ...]
set -euo pipefail
cd "$(dirname "$0")/.."
domains=$1 vms=$2; shift 2
export RHUBARB_NET=${RHUBARB_NET:-90} RHUBARB_RUN=build/run-control
source scripts/deployment.sh
trap stop_all EXIT
rm -rf "$run"; mkdir -p "$run/log"; : >"$pids_file"
start platform "$bin/standin-platform" --ip=127.$net.0.1 --port=8500
wait_http "$platform/calls"
ips=()
for d in $(seq 1 "$domains"); do
  for v in $(seq 1 "$vms"); do
    ip=127.$net.$d.$v
    ips+=("$ip")
    register "vm-$ip" rhubarb-vm "$ip" 8080 "\"domain\":\"r$d-1\",\"state\":\"live\""
  done
done
"$bin/rhubarbctl" --platform="$platform" apply examples/drevorez.ini >/dev/null
for d in $(seq 1 "$domains"); do
  for v in $(seq 1 "$vms"); do
    ip=127.$net.$d.$v
    start "steer-$ip" "$bin/rhubarb-steer" --set=vm.ip=$ip --set=vm.domain=r$d-1 \
      --set=vm.region=r$d --set=operator.ip=$ip --set=operator.port=9082 \
      --set=platform.address=$platform --set=log.level=error "$@"
  done
done
sleep 15
# Prints the sum of sent and received bytes of all agents.
bytes() {
  local ip
  for ip in "${ips[@]}"; do curl -s "http://$ip:9082/v1/status"; done |
    grep -o '"\(sent\|received\)_bytes":[0-9]*' | awk -F: '{s+=$2} END {print s}'
}
# Prints the CPU time of all agents in clock ticks.
ticks() { awk '$1 ~ /^steer-/ {print $2}' "$pids_file" |
  while read -r pid; do cut -d' ' -f14,15 "/proc/$pid/stat"; done | awk '{s+=$1+$2} END {print s}'; }
# Prints the resident memory of all agents in kB.
rss() { awk '$1 ~ /^steer-/ {print $2}' "$pids_file" |
  while read -r pid; do awk '/VmRSS/{print $2}' "/proc/$pid/status"; done | awk '{s+=$1} END {print s}'; }
# Prints the number of calls that the platform received.
calls() { curl -s "http://$platform/calls" | grep -o ':[0-9]*' | tr -d : | awk '{s+=$1} END {print s}'; }
window=10
bytes_before=$(bytes) ticks_before=$(ticks) calls_before=$(calls) start_time=$(date +%s.%N)
sleep $window
ticks_after=$(ticks) calls_after=$(calls) calls_end_time=$(date +%s.%N) bytes_after=$(bytes) bytes_end_time=$(date +%s.%N)
live_vms=$(curl -s "http://${ips[0]}:9082/v1/status" | tr '{' '\n' |
  grep '"domain":"r1-1"' | grep -c '"state":"live"')
sed 's/worth = 10/worth = 11/' examples/drevorez.ini >"$run/next.ini"
in_force=$("$bin/rhubarbctl" --platform="$platform" apply "$run/next.ini" --wait | grep after || echo "not within 12 s")
awk -v n=${#ips[@]} -v d="$domains" -v b=$((bytes_after - bytes_before)) -v t=$((ticks_after - ticks_before)) -v c=$((calls_after - calls_before)) \
  -v w1="$(echo "$calls_end_time $start_time" | awk '{print $1-$2}')" -v w2="$(echo "$bytes_end_time $start_time" | awk '{print $1-$2}')" \
  -v m="$(rss)" -v live="$live_vms" -v force="$in_force" 'BEGIN {
  printf "%d agents, %d failure domains: %.0f B/s sent and received, %.2f%% of a core, %.1f MB, %.1f store calls/s in all, %d of its domain seen live, in force %s\n",
    n, d, b/n/w2, t/n/w1, m/n/1024, c/w1, live, force }'
