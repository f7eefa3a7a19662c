#!/usr/bin/env bash
# Integration tests with the real processes; each call runs one scenario. A
# scenario starts its own deployment on loopback, injects a failure, and compares
# the responses that callers received with the runs recorded by backend servers.
#   test/processes/run.sh SCENARIO     (list: test/processes/run.sh --list)
set -euo pipefail
cd "$(dirname "$0")/../.."

scenarios="bad_input keys kill_entries freeze_home cut_answers drain_server
planned_stop config_store config_race cut_off kill_in_outage steer_dies flood"

if [ "${1:-}" = --list ]; then echo $scenarios; exit 0; fi
scenario=$1
scenario_index=0
for name in $scenarios; do
  scenario_index=$((scenario_index + 1))
  [ "$name" = "$scenario" ] && break
done
export RHUBARB_NET=$((60 + scenario_index)) RHUBARB_RUN=build/run-$scenario
source scripts/deployment.sh
trap stop_all EXIT

fail() { echo "FAILED: $*" >&2; exit 1; }
expect() { # TEXT PATTERN WHAT
  grep -qE "$2" <<<"$1" || fail "$3: no '$2' in: $1"
}

# Starts a background load generator in every failure domain.
start_mix() { # SECONDS [RATES]
  local vm index=0
  mix_pids=()
  for vm in $(first_vm_of_each_domain); do
    index=$((index + 1))
    "$bin/rhubarb-call" mix ${2:-$(rates_of drevorez)} --seconds="$1" --seed=$index \
      --lookup="$(lookups_from "$vm")" --results="$run/results-$index" \
      --deadline-ms=4000 >/dev/null &
    mix_pids+=($!)
  done
}
finish_mix() {
  local pid
  for pid in "${mix_pids[@]}"; do wait "$pid"; done
  "$bin/rhubarb-call" verify --runs="$run/runs" "$run"/results-* | tee "$run/verified" ||
    fail "recorded runs and responses do not match"
}
outcome_count() { awk -v o="$1" '$2 == o' "$run"/results-* | wc -l; }
reason_count() { awk -v r="$1" '$3 == r' "$run"/results-* | wc -l; }

deployment() {
  start_deployment drevorez
  ctl apply examples/drevorez.ini --wait >/dev/null
  # The slots of backend servers open gradually after they are listed.
  sleep 3
}

send() { curl -s -i "$@"; }
vm1() { vm_ips | sed -n 1p; }
vm2() { vm_ips | sed -n 2p; }
vm3() { vm_ips | sed -n 3p; }
# Prints a new key prefix whose home is the entry process of the VM.
key_home() { # VM
  curl -s -X POST "http://$1:8080/v1/keys" | sed 's/.*"home":"\([^"]*\)".*/\1/'
}

bad_input() {
  local out code
  for arguments in "--set=nonsense" "--set=entry.port=99999 --set=vm.ip=x" ""; do
    code=0
    out=$("$bin/rhubarb-entry" $arguments 2>&1) || code=$?
    [ $code = 2 ] || fail "exit code $code for '$arguments'"
    expect "$out" "takes|is missing" "settings fault"
  done
  "$bin/rhubarb-entry" --help-config | grep -q key_lifetime_ms || fail "--help-config"
  deployment
  out=$(send "http://$(vm1):8080/" -H 'Rhubarb-Service: none')
  expect "$out" "404" "unknown service"
  expect "$out" "Rhubarb-Outcome: not-run" "unknown service"
  out=$(send "http://$(vm1):8080/" -H 'Rhubarb-Service: catalogue' -H 'Rhubarb-Deadline-Ms: x')
  expect "$out" "400" "bad deadline"
  out=$(head -c 2000000 /dev/zero | send "http://$(vm1):8080/" -H 'Rhubarb-Service: catalogue' --data-binary @- -H 'Expect:')
  expect "$out" "413" "oversized body"
  out=$(send -X POST "http://$(vm1):8090/rpc" -d '{}' --interface 127.0.0.1)
  expect "$out" "403" "control message from an address that is not a peer"
  # An invalid configuration is refused with a message that names every error.
  printf '[pool p]\nslots = x\n[service s]\nprofile = q\npool = p\n' >"$run/bad.ini"
  code=0
  out=$(ctl apply "$run/bad.ini" --yes 2>&1) || code=$?
  [ $code = 2 ] || fail "apply of a bad configuration gave $code"
  expect "$out" "slots = 'x'" "config fault"
  expect "$out" "profile = 'q'" "config fault"
  expect "$(ctl show)" "revision 1" "revision after refusal"
  # Every command accepts the options that precede it.
  ctl validate examples/drevorez.ini >/dev/null || fail "validate with options"
  # An invalid revision written directly to the store is rejected, and the last
  # valid one stays in force.
  curl -s -o /dev/null -X PUT "http://$platform/v1/kv/rhubarb/config/head" -d \
    '{"schema":1,"revision":2,"checkpoint_revision":0,"checkpoint_hash":0,"checkpoint_keys":[],"edits":[{"id":"x","revision":2,"author":"x","time_ms":0,"changes":[{"section":"pool p","values":{"slots":"x"}}]}]}'
  sleep 1.5
  out=$(curl -s "http://$(vm1):9082/v1/status")
  expect "$out" '"revision":1,' "good revision stays"
  expect "$out" '"rejected_revision":2' "rejected revision is shown"
  expect "$out" 'config_rejected' "warning is raised"
  "$bin/rhubarb-call" one catalogue --lookup="$(vm1):8081" >/dev/null || fail "still serving"
}

keys() {
  entry_settings=--set=entry.key_lifetime_ms=3000
  deployment
  local home out old vm first=$(vm1)
  home=$(key_home "$first")
  old=$home
  out=$(send -X POST "http://$first:8080/" -H 'Rhubarb-Service: deposits')
  expect "$out" "428" "no key"
  expect "$out" "not-run" "no key"
  expect "$out" "lookup" "response says how to get a key"
  out=$(send -X POST "http://$first:8080/" -H 'Rhubarb-Service: deposits' -H "Rhubarb-Key: x$home.a")
  expect "$out" "40[03]" "forged key"
  local digit=0
  [ "${home: -1}" != 0 ] || digit=1
  out=$(send -X POST "http://$first:8080/" -H 'Rhubarb-Service: deposits' -H "Rhubarb-Key: ${home%?}$digit.a")
  expect "$out" "403" "changed signature"
  expect "$out" "key_forged" "changed signature"
  # Sending one key to every VM twice causes a single run; all requests get its
  # response.
  for vm in $(vm_ips) $(vm_ips); do
    out=$(send -X POST "http://$vm:8080/" -H 'Rhubarb-Service: deposits' \
      -H "Rhubarb-Key: $home.one" -H 'Rhubarb-Trace: one' -d body)
    expect "$out" "200 OK" "same key at $vm"
    expect "$out" "ran one" "same key at $vm"
  done
  [ "$(cat "$run"/runs/* | grep -c '^one ')" = 1 ] || fail "one key ran more than once"
  out=$(send -X POST "http://$(vm3):8080/" -H 'Rhubarb-Service: deposits' -H "Rhubarb-Key: $home.one" -d other)
  expect "$out" "422" "key with another request"
  sleep 3.5
  for vm in $first $(vm3); do
    out=$(send -X POST "http://$vm:8080/" -H 'Rhubarb-Service: deposits' -H "Rhubarb-Key: $old.two" -H 'Rhubarb-Trace: two')
    expect "$out" "410" "expired key"
    expect "$out" "Rhubarb-Attempt: not-run" "expired key"
  done
  ! grep -q '^two ' "$run"/runs/* || fail "an expired key ran"
  # A replacement process at the address of a dead home responds at once with
  # outcome unknown to keys of that home.
  home=$(key_home "$first")
  kill_vm "$first"
  start_vm stredne-1 "$first"
  sleep 2
  out=$(send -X POST "http://$first:8080/" -H 'Rhubarb-Service: deposits' -H "Rhubarb-Key: $home.three" -H 'Rhubarb-Trace: three')
  expect "$out" "unknown" "home replaced"
  ! grep -q '^three ' "$run"/runs/* || fail "a key of a dead home ran"
}

kill_entries() {
  deployment
  start_mix 10
  sleep 2; kill_vm "$(vm1)"
  sleep 2; kill_backend "$(backend_to_kill)"; kill_vm "$(vm3)"
  sleep 2; start_vm stredne-1 "$(vm1)"
  finish_mix
  local all unknown
  all=$(cat "$run"/results-* | wc -l) unknown=$(outcome_count unknown)
  echo "unknown $unknown of $all"
}

freeze_home() {
  deployment
  start_mix 9
  sleep 2; signal entry "$(vm1)" STOP
  sleep 3; signal entry "$(vm1)" CONT
  sleep 1; signal entry "$(vm2)" STOP; signal steer "$(vm3)" STOP
  sleep 0.5; signal entry "$(vm2)" CONT; signal steer "$(vm3)" CONT
  finish_mix
  grep -q woke_after_freeze "$run/log/entry-$(vm1).log" || fail "the entry process logged no woke_after_freeze"
}

cut_answers() {
  deployment
  local server
  start_mix 8
  for server in $(backends); do
    sleep 0.2
    backend_faults "$server" "cut=5&silent=1"
  done
  finish_mix
  # A truncated response never reaches a caller as a complete one.
  expect "$(cat "$run/verified")" "crossed or cut 0" "whole answers"
  [ "$(reason_count server_cut)" -gt 0 ] || fail "no cut answer was seen"
}

drain_server() {
  deployment
  local servers listed reported drained before after server
  servers=($(backends | grep ':9000'))
  listed=${servers[0]} reported=${servers[2]} drained=${servers[4]}
  start_mix 12
  sleep 1
  backend_faults "$reported" "drain=1&lag_ms=1000"
  ctl drain "$drained" --wait >/dev/null
  register "$listed" rhubarb-servers-stredne "${listed%:*}" 9000 \
    '"pool":"catalogue","domain":"stredne-1","state":"leaving"'
  sleep 3
  declare -A before
  for server in $listed $reported $drained; do
    before[$server]=$(backend_report "$server" | sed 's/.*"runs":\([0-9]*\).*/\1/')
  done
  sleep 3
  for server in $listed $reported $drained; do
    after=$(backend_report "$server" | sed 's/.*"runs":\([0-9]*\).*/\1/')
    [ "$after" = "${before[$server]}" ] || fail "$server got new work after 3 s"
  done
  finish_mix
  [ "$(outcome_count unknown)" = 0 ] || fail "a drain cut off requests"
  [ "$(outcome_count not-run)" = 0 ] || fail "a drain refused requests"
}

planned_stop() {
  deployment
  local vm home out program
  vm=$(vm2)
  home=$(key_home "$vm")
  out=$(send -X POST "http://$vm:8080/" -H 'Rhubarb-Service: deposits' \
    -H "Rhubarb-Key: $home.kept" -H 'Rhubarb-Trace: kept' -d body)
  expect "$out" "ran kept" "before the stop"
  start_mix 14
  sleep 1
  signal entry "$vm" TERM
  sleep 1
  ! curl -s "http://$(vm1):8081/v1/lookup?service=catalogue" | grep -q "$vm:" ||
    fail "look-ups still name the leaving VM"
  wait_end entry "$vm"
  expect "$(cat "$run/log/entry-$vm.log")" "keys_handed_over done=yes" "hand-over"
  grep -o 'drain_ms=[0-9]*' "$run/log/entry-$vm.log"
  # The response stored under a key of the stopped process stays available
  # through any VM.
  out=$(send -X POST "http://$(vm3):8080/" -H 'Rhubarb-Service: deposits' \
    -H "Rhubarb-Key: $home.kept" -H 'Rhubarb-Trace: kept' -d body)
  expect "$out" "ran kept" "after the stop"
  for program in lookup steer; do signal $program "$vm" TERM; wait_end $program "$vm"; done
  finish_mix
  [ "$(outcome_count unknown)" = 0 ] || fail "a planned stop cut off requests"
  [ "$(outcome_count not-run)" = 0 ] || fail "a planned stop refused requests"
}

config_store() {
  deployment
  local out code vm
  # The store applies the write but its response is lost: the edit is accepted
  # exactly once.
  platform_faults "lose=1"
  sed 's/worth = 10/worth = 11/' examples/drevorez.ini >"$run/next.ini"
  out=$(ctl apply "$run/next.ini" --wait)
  expect "$out" "accepted as revision 2" "lost answer"
  expect "$(ctl history)" "^ *2 " "history"
  # While the store is down, an edit fails, requests are still served, and a
  # restarted VM fetches the newest revision from its peers.
  platform_faults "down=1"
  code=0
  out=$(ctl apply examples/drevorez.ini --yes 2>&1) || code=$?
  [ $code = 1 ] || fail "apply without a store gave $code"
  start_mix 6
  vm=$(vm2)
  kill_vm "$vm"
  start_vm stredne-1 "$vm"
  finish_mix
  platform_faults ""
  sleep 2
  out=$(ctl status)
  expect "$out" "$vm +stredne-1 +2 " "restarted VM has revision 2"
  # With a slow store, an edit is still in force within 12 s.
  platform_faults "slow_ms=700"
  out=$(ctl apply examples/drevorez.ini --yes --wait) || fail "slow store: $out"
  expect "$out" "accepted as revision 3" "slow store"
  platform_faults ""
  out=$(ctl rollback 2 --yes --wait)
  expect "$out" "accepted as revision 4" "rollback is a new revision"
  expect "$(ctl show)" "worth = 11" "rolled back"
}

config_race() {
  deployment
  local i codes=() pids=() accepted=0 conflicts=0 pid code revisions
  for i in 1 2 3 4 5 6; do
    sed "s/worth = 10/worth = $((20 + i))/" examples/drevorez.ini >"$run/race-$i.ini"
  done
  for i in 1 2 3 4 5 6; do
    ctl --author="op$i" apply "$run/race-$i.ini" >"$run/race-$i.out" 2>&1 &
    pids+=($!)
  done
  for pid in "${pids[@]}"; do
    code=0; wait "$pid" || code=$?
    case $code in 0) accepted=$((accepted + 1)) ;; 3) conflicts=$((conflicts + 1)) ;; *) fail "code $code" ;; esac
  done
  echo "accepted $accepted, conflicts $conflicts"
  [ $((accepted + conflicts)) = 6 ] && [ $accepted -ge 1 ] || fail "a racing edit got lost"
  if [ $conflicts -gt 0 ]; then
    expect "$(cat "$run"/race-*.out)" "conflict: op[1-6] made revision" "conflict names the accepted edit"
  fi
  revisions=$(ctl history | wc -l)
  [ "$revisions" = $((1 + accepted)) ] || fail "$revisions revisions for $accepted edits"
}

cut_off() {
  deployment
  local vm last out before
  # The last VM is the only one of zapad-2.
  last=$(vm_ips | tail -n 1)
  start_mix 20
  sleep 2
  # Cuts the VM off from all other failure domains; the load generator in its own
  # domain still reaches it.
  local others="127.$net.0.,127.$net.1.,127.$net.2.,127.$net.3.,127.$net.4.,127.$net.5."
  cut_vm "$last" "$others"
  sleep 2
  sed 's/worth = 10/worth = 12/' examples/drevorez.ini >"$run/next.ini"
  ctl apply "$run/next.ini" >/dev/null || fail "an edit during the cut"
  sleep 4
  # The isolated VM still serves requests with the backend servers in reach.
  "$bin/rhubarb-call" one catalogue --lookup="$last:8081" >/dev/null ||
    fail "the cut-off failure domain does not serve"
  "$bin/rhubarb-call" one deposits --lookup="$last:8081" >/dev/null ||
    fail "the cut-off failure domain takes no deposits"
  expect "$(curl -s "http://$last:9082/v1/status")" '"revision":1,' "old revision while cut"
  cut_vm "$last" ""
  sleep 4
  expect "$(curl -s "http://$last:9082/v1/status")" '"revision":2,' "healed"
  finish_mix
}

kill_in_outage() {
  deployment
  start_mix 10
  platform_faults "down=1"
  sleep 1; kill_vm "$(vm1)"; kill_backend "$(backend_to_kill)"
  sleep 3; start_vm stredne-1 "$(vm1)"
  sleep 2; kill_vm "$(vm3)"
  finish_mix
  "$bin/rhubarb-call" one deposits --lookup="$(vm1):8081" >/dev/null ||
    fail "a VM that was restarted during the outage does not serve"
}

steer_dies() {
  deployment
  start_mix 6
  sleep 1
  local vm
  for vm in $(vm_ips); do signal steer "$vm" KILL; done
  finish_mix
  [ "$(outcome_count unknown)" = 0 ] || fail "requests were cut off"
  [ "$(outcome_count not-run)" = 0 ] || fail "requests were refused"
}

# Batch load of ten times the capacity of the servers (450 requests a second from
# each of six failure domains) must not affect urgent deposits on the same servers.
flood() {
  # 12 servers with 9 slots and 400 ms per request serve 270 requests a second.
  export RHUBARB_SPREAD=50 RHUBARB_SERVICE_MS=400
  deployment
  local calm flooded
  start_mix 8 "--rate=deposits=6"
  finish_mix
  calm=$(urgent_row)
  rm "$run"/results-*
  start_mix 8 "--rate=catalogue=450 --rate=deposits=6"
  finish_mix
  flooded=$(urgent_row)
  echo "urgent, sent answered p99: calm $calm, flooded $flooded"
  awk -v calm="$calm" -v flooded="$flooded" 'BEGIN {
    split(calm, c); split(flooded, f)
    exit !(f[2] >= 0.99 * f[1] && f[3] <= 1.5 * c[3]) }' ||
    fail "batch load affected urgent requests"
}
# Prints the columns sent, answered and p99 of urgent requests.
urgent_row() { awk '$1 == "urgent" { print $2, $3, $7 }' "$run/verified"; }

$scenario
echo "passed: $scenario"
