#!/bin/sh
# Builds the programs of the cases in review/6 and above, after the build of the
# deploy file, which leaves the project's library in target/.
set -e
cd "$(dirname "$0")/.."
libs="glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-c log4c msgpack gsl"
make -j4 BUILD=target OPTIMIZE=-O2 target/bin/cs-standin-relay
mkdir -p target/review-2
for program in tool-2:rig tool-3:cases; do
	gcc -std=gnu11 -g -O2 -Wall -Wextra -Wno-unused-parameter -I. \
		$(pkg-config --cflags $libs) "review/${program%%:*}"/*.c \
		target/libcorianderstep.a $(pkg-config --libs $libs) -lm \
		-o "target/review-2/${program##*:}"
done
