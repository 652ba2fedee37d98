#!/bin/sh
# Builds what the scripts of the cases start, into target/review/, after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/../.."
libs="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c log4c msgpack gsl"
make -j4 BUILD=target OPTIMIZE=-O2 target/bin/csentryd
mkdir -p target/review
gcc -std=gnu11 -g -O2 -Wall -Wextra -Wno-unused-parameter -I. \
	$(pkg-config --cflags $libs) review/tool-3/*.c target/libcorianderstep.a \
	$(pkg-config --libs $libs) -lm -o target/review/cases-3
