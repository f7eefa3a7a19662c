#!/usr/bin/env bash
# Installs the Debian packages that build, tests and checks need.
set -euo pipefail
packages="g++ cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libboost-log1.81-dev libjsonrpccpp-dev libjsoncpp-dev
  libssl-dev prometheus-cpp-dev libdocopt-dev doctest-dev libbenchmark-dev
  librapidcheck-dev libxxhash-dev"
missing=$(dpkg-query -W -f '${Package} ${Status}\n' $packages 2>/dev/null |
  awk '/install ok installed/{print $1}' | sort -u |
  comm -13 - <(printf '%s\n' $packages | sort -u))
[ -z "$missing" ] && exit 0
sudo=; [ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing >/dev/null
