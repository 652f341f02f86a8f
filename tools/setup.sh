#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless all are installed.
set -eu
need="gcc g++ make pkg-config clang clang-format clang-tidy libclang-rt-14-dev
  libev-dev libmsgpack-dev libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev
  libtomlplusplus-dev libcmocka-dev libjansson-dev libxxhash-dev
  libzstd-dev python3"
missing=""
for p in $need; do
  state=$(dpkg-query -W -f='${Status}' "$p" 2>/dev/null || true)
  [ "$state" = "install ok installed" ] || missing="$missing $p"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
# shellcheck disable=SC2086
apt-get install -y -q --no-install-recommends $missing
