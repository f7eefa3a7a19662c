# Shell functions that start and stop a small deployment on loopback with three
# regions of two failure domains each. Every VM has its own IP address,
# 127.<net>.<domain>.<vm>. quickstart.sh and the tests source this file.

bin=build/bin
net=${RHUBARB_NET:-41}
run=${RHUBARB_RUN:-run}
platform=127.$net.0.1:8500
secret=loopback-only
pids_file=$run/pids
entry_settings=${RHUBARB_ENTRY_SETTINGS:-}

domains_of() {
  case "$1" in
  drevorez) echo "stredne-1 stredne-2 vychod-1 vychod-2 zapad-1 zapad-2" ;;
  kartograf) echo "lj-1 lj-2 mb-1 mb-2 kp-1 kp-2" ;;
  *) echo "no deployment '$1'" >&2; return 2 ;;
  esac
}

# Prints the pools of a deployment as pool:servers-per-domain:slots:service-ms.
pools_of() {
  local ms=${RHUBARB_SERVICE_MS:-20}
  case "$1" in
  drevorez) echo "catalogue:2:9:$ms order:1:3:40" ;;
  kartograf) echo "viewer:2:3:$ms intake:1:3:40" ;;
  esac
}

# Prints options with the requests a second from each failure domain.
rates_of() {
  case "$1" in
  drevorez) echo "--rate=catalogue=60 --rate=deposits=20 --rate=orders=15" ;;
  kartograf) echo "--rate=sheets=40 --rate=stamps=20 --rate=filings=15" ;;
  esac
}

region_of() { echo "${1%-*}"; }

# Starts a program in the background and records its process id under NAME.
start() { # NAME PROGRAM ARGUMENTS...
  local name=$1; shift
  "$@" >"$run/log/$name.log" 2>&1 &
  echo "$name $!" >>"$pids_file"
  disown
}

pid_of() { awk -v name="$1" '$1 == name { pid = $2 } END { print pid }' "$pids_file"; }

wait_http() { # ADDRESS
  local tries=100
  until curl -s -o /dev/null "http://$1"; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || { echo "no answer from $1" >&2; return 1; }
    sleep 0.1
  done
}

# Registers an instance in the catalog of the platform.
register() { # ID SERVICE IP PORT META
  curl -s -X PUT -o /dev/null "http://$platform/v1/catalog/register" -d "{
    \"Address\":\"$3\",
    \"Service\":{\"ID\":\"$1\",\"Service\":\"$2\",\"Port\":$4,\"Meta\":{$5}}}"
}

start_vm() { # DOMAIN IP
  local domain=$1 ip=$2 region
  region=$(region_of "$domain")
  local common="--set=vm.ip=$ip --set=vm.domain=$domain --set=vm.region=$region
    --set=operator.ip=$ip --set=testing.faults=yes"
  start "entry-$ip" "$bin/rhubarb-entry" $common --set=operator.port=9080 \
    --set=entry.key_secret=$secret $entry_settings
  start "lookup-$ip" "$bin/rhubarb-lookup" $common --set=operator.port=9081 \
    --set=entry.key_secret=$secret
  start "steer-$ip" "$bin/rhubarb-steer" $common --set=operator.port=9082 \
    --set=platform.address=$platform --set=steer.peer_prefixes=127.$net.
}

start_backend() { # DOMAIN POOL INDEX SLOTS SERVICE_MS
  local ip=127.$net.$((100 + $3)).$(( $(domain_number "$1") + 1 ))
  local port=9000
  [ "$2" = "$first_pool" ] || port=9001
  start "backend-$ip:$port" "$bin/standin-backend" --ip=$ip --port=$port \
    --slots=$4 --service-ms=$5 --spread=${RHUBARB_SPREAD:-0} --runs="$run/runs/$ip-$port"
  register "$ip:$port" "rhubarb-servers-$(region_of "$1")" $ip $port \
    "\"pool\":\"$2\",\"domain\":\"$1\",\"state\":\"live\""
}

domain_number() {
  local number=0 domain
  for domain in $(domains_of "$deployment_name"); do
    [ "$domain" = "$1" ] && { echo $number; return; }
    number=$((number + 1))
  done
}

start_deployment() {
  deployment_name=$1
  rm -rf "$run"
  mkdir -p "$run/log" "$run/runs"
  : >"$pids_file"
  start platform "$bin/standin-platform" --ip=127.$net.0.1 --port=8500
  wait_http "$platform/calls"
  local domain number=0 pool count slots ms vm
  first_pool=$(pools_of "$1" | cut -d: -f1)
  vm_list=
  for domain in $(domains_of "$1"); do
    number=$((number + 1))
    # There are nine VMs: two in the first failure domain of each region and one in
    # the second.
    local vms="1 2"
    [ "${domain##*-}" = 1 ] || vms="1"
    for vm in $vms; do
      local ip=127.$net.$number.$vm
      vm_list="$vm_list $domain/$ip"
      register "vm-$ip" rhubarb-vm $ip 8080 "\"domain\":\"$domain\",\"state\":\"live\""
    done
  done
  local row
  for row in $vm_list; do start_vm "${row%/*}" "${row#*/}"; done
  for domain in $(domains_of "$1"); do
    for row in $(pools_of "$1"); do
      IFS=: read -r pool count slots ms <<<"$row"
      local index
      for index in $(seq 1 "$count"); do start_backend "$domain" "$pool" "$index" "$slots" "$ms"; done
    done
  done
  for row in $vm_list; do wait_http "${row#*/}:9082/v1/status"; done
}

ctl() { "$bin/rhubarbctl" --platform="$platform" "$@"; }

vm_ips() { local row; for row in $vm_list; do echo "${row#*/}"; done; }
first_vm_of_each_domain() { vm_ips | grep '\.1$'; }

# Prints the lookup addresses for a caller on a VM: the address of that VM first,
# then those of all others.
lookups_from() {
  { echo "$1"; vm_ips | grep -vx "$1"; } | sed 's/$/:8081/' | paste -sd,
}

entry_vm_to_kill() { vm_ips | sed -n 2p; }
backend_to_kill() { awk '$1 ~ /^backend-/ { print $1; exit }' "$pids_file"; }

# Kills the processes of a VM. Returns once they have ended, as their ports are
# taken until then.
kill_vm() {
  local program
  for program in entry lookup steer; do kill -9 "$(pid_of "$program-$1")"; done
  for program in entry lookup steer; do wait_end "$program" "$1"; done
}
# Sends a signal to one program of a VM; arguments: PROGRAM IP SIGNAL.
signal() { kill "-$3" "$(pid_of "$1-$2")"; }
# Waits until one program of a VM has exited, 0.1 s per try.
wait_end() { # PROGRAM IP [TRIES]
  local tries=${3:-200}
  while kill -0 "$(pid_of "$1-$2")" 2>/dev/null; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || { echo "$1 of $2 does not end" >&2; return 1; }
    sleep 0.1
  done
}

# Sets the injected faults of the platform.
platform_faults() { curl -s -o /dev/null -X POST "http://$platform/faults?$1"; }
# Sets the injected faults of a backend server.
backend_faults() { curl -s -o /dev/null -X POST "http://$1/faults?$2"; }
# Cuts the three programs of a VM off from addresses that begin with one of the
# comma-separated PREFIXES; an empty list ends the cut.
cut_vm() { # IP PREFIXES
  local port
  for port in 9080 9081 9082; do
    curl -s -o /dev/null -X POST "http://$1:$port/v1/faults?cut=$2"
  done
}
backend_report() { curl -s "http://$1/rhubarb/load"; }
backends() { awk '$1 ~ /^backend-/ { sub("backend-", "", $1); print $1 }' "$pids_file"; }

kill_backend() { kill -9 "$(pid_of "$1")"; }

stop_all() {
  local pid
  [ -f "$pids_file" ] || return 0
  awk '{ print $2 }' "$pids_file" | while read -r pid; do kill -9 "$pid" 2>/dev/null || true; done
}
