#!/bin/sh
# Builds the stand-ins of the scripts, from the library that the build of the
# deploy file has left.
set -e
cd "$(dirname "$0")/.."
libs="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c log4c msgpack gsl"
make -j4 BUILD=target OPTIMIZE=-O2 target/bin/csentryd
mkdir -p target/review-3
gcc -std=gnu11 -g -O2 -Wall -Wextra -Wno-unused-parameter -I. \
	$(pkg-config --cflags $libs) review/tool-4/site.c \
	review/tool-4/scenarios.c review/tool-4/proxy.c target/libcorianderstep.a \
	$(pkg-config --libs $libs) -lm -o target/review-3/site
