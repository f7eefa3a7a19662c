#!/usr/bin/env bash
# run.sh CASE FOLDER: runs a case with the program of the deploy file. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
folder=$(cd "$2" && pwd)
top=$(cd "$(dirname "$0")/../.." && pwd)
program=$top/target/bin/rhubarb-node
standin=$top/review/bin/standin
if [ ! -x "$program" ] || [ ! -x "$standin" ]; then
  echo "build first: the build of deploy/system.toml, then review/build.sh"
  exit 2
fi
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
cd "$top" || exit 2
# The stand-in ends the nodes that it starts; they also end with it.
timeout -k 5 115 "$standin" "$1" "$directory" "$program" "$folder/record.txt"
result=$?
case $result in 0 | 1) ;; *) result=2 ;; esac
exit "$result"
