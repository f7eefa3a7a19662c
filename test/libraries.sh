#!/usr/bin/env bash
# A process must not load libraries that it does not use: it cannot handle signals
# before they are loaded. Guards against transports of the JSON-RPC library, which
# bring some thirty more libraries.
#   test/libraries.sh PROGRAM
set -euo pipefail
for name in libcurl libmicrohttpd libgnutls; do
  if ldd "$1" | grep -q "$name"; then
    echo "$1 loads $name"
    exit 1
  fi
done
echo "no unused transports, $(ldd "$1" | wc -l) libraries"
