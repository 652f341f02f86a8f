#!/usr/bin/env bash
# build-2.sh: builds the stand-in of the cases 4 to 8, target/review-cases, after the build
# of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/kumquatd target/libkq.a
packages="libmicrohttpd libcurl glib-2.0 jansson libxxhash libzstd"
flags="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Isrc -I. -Istandin $(pkg-config --cflags $packages)"
# The store's leases pause while it is down: see store_time_now in platform_case_test.c.
# shellcheck disable=SC2086
gcc $flags -Dkq_time_now=store_time_now -c -o target/review-kv.o standin/platform_kv.c
# shellcheck disable=SC2046,SC2086
gcc $flags \
  -o target/review-cases review/platform_case_test.c target/review-kv.o standin/web.c \
  target/libkq.a -lev -lmsgpackc $(pkg-config --libs $packages) -lstdc++ -lm -lpthread
