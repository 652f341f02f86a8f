#!/usr/bin/env bash
# build-3.sh: builds the stand-in of the cases 9 to 11, target/review-advice, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/kumquatd target/libkq.a
packages="libmicrohttpd libcurl glib-2.0 jansson libxxhash libzstd"
flags="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Isrc -I. -Istandin $(pkg-config --cflags $packages)"
# shellcheck disable=SC2046,SC2086
gcc $flags \
  -o target/review-advice review/advice_test.c standin/platform_kv.c standin/web.c \
  target/libkq.a -lev -lmsgpackc $(pkg-config --libs $packages) -lstdc++ -lm -lpthread
