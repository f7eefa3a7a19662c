#!/usr/bin/env bash
# Installs the missing Debian packages that the build, tests and linters need.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy clang-tools curl git
  libboost1.81-dev libboost-log1.81-dev libjsonrpccpp-dev libjsoncpp-dev
  libssl-dev prometheus-cpp-dev libdocopt-dev doctest-dev libbenchmark-dev
  libxxhash-dev"
missing=
for package in $packages; do
  dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' ||
    missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
sudo=; [ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null
