#!/usr/bin/env bash
# Builds the stand-in of the review's scripts into review/bin. It needs g++ and
# the C++ library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread standin/*.cpp -o bin/standin
