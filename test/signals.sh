#!/usr/bin/env bash
# Checks that a process installs its signal handlers before any other startup
# step. The settings file is a FIFO without a writer, so the process blocks while
# it reads its settings at startup, and must survive a SIGHUP there.
#   test/signals.sh NODE
set -euo pipefail
folder=$(mktemp -d)
trap 'kill -KILL "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT
mkfifo "$folder/settings"
"$1" --settings="$folder/settings" &
pid=$!
# Waits until the process has executed NODE and sleeps in its read of the FIFO.
for _ in $(seq 100); do
  grep -q '^State:.*S' "/proc/$pid/status" &&
    grep -q -- '--settings' "/proc/$pid/cmdline" && break
  sleep 0.02
done
sleep 0.3
kill -HUP "$pid"
sleep 0.2
kill -0 "$pid" || { echo "SIGHUP during the start ended the process"; exit 1; }
echo "the start outlived SIGHUP"
