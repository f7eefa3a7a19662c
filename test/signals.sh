#!/usr/bin/env bash
# A process takes its signals before it does anything else: one that looks for
# settings in a FIFO that nobody writes to has got no further than its start, and
# must outlive a SIGHUP. Usage: test/signals.sh NODE
set -euo pipefail
folder=$(mktemp -d)
trap 'kill -KILL "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT
mkfifo "$folder/settings"
"$1" --settings="$folder/settings" &
pid=$!
for _ in $(seq 100); do # Until it waits for the settings.
  grep -q '^State:.*S' "/proc/$pid/status" &&
    grep -q -- '--settings' "/proc/$pid/cmdline" && break
  sleep 0.02
done
sleep 0.3
kill -HUP "$pid"
sleep 0.2
kill -0 "$pid" || { echo "SIGHUP during the start ended the process"; exit 1; }
echo "the start outlived SIGHUP"
