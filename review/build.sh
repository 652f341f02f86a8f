#!/bin/sh
# Builds the stand-ins of the cases into target/, from the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -j8 BUILD=target target/libkq.a >/dev/null
P="libmicrohttpd libcurl glib-2.0 jansson libxxhash libzstd"
gcc -std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Isrc -I. -Istandin $(pkg-config --cflags $P) \
  -o target/review-fleet review/fleet_test.c review/store_test.c standin/web.c \
  target/libkq.a -lev -lmsgpackc $(pkg-config --libs $P) -lstdc++ -lm -lpthread
