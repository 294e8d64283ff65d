#!/bin/sh
# Installs the Debian packages that the build, the tests and the demo need. Does nothing when all are
# installed.
set -eu
packages="build-essential cmake ninja-build clang-format clang-tidy clang libclang-rt-14-dev git python3 gnuplot-nox
libboost1.81-dev libboost-log1.81-dev libboost-thread1.81-dev libboost-json1.81-dev libboost-system1.81-dev libboost-url1.81-dev
libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler libtclap-dev libtomlplusplus-dev libcpputest-dev
libxxhash-dev libssl-dev"
missing=""
for package in $packages; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086
apt-get install -y -qq --no-install-recommends $missing
