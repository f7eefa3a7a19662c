#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into build/review-2.
# The cases run the node that the build of deploy/system.toml has made.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/*/Case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread "$source" -o "build/review-2/case-$name"
done
