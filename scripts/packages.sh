#!/bin/sh
# Installs every Debian package that the build, the tests and the demo need.
# CI, the README and developers all use this one list.
set -eu

PACKAGES="gcc g++ clang make meson ninja-build pkg-config git curl jq openssl bc
bsdextrautils procps
clang-format clang-tidy cppcheck scdoc spin libclang-rt-14-dev
libck-dev libcunit1-dev libcurl4-openssl-dev libev-dev libglib2.0-dev
libjansson-dev libmicrohttpd-dev libprotobuf-c-dev librapidcheck-dev
libsodium-dev libxxhash-dev protobuf-c-compiler zlib1g-dev"

missing=""
for package in $PACKAGES; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
apt-get update
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends $missing
