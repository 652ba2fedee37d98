#!/bin/sh
# Builds the program with the stand-ins and clients of the scripts.
set -e
cd "$(dirname "$0")"
mkdir -p bin
gcc -std=gnu11 -O1 -g -Wall -Wextra $(pkg-config --cflags json-c) tool/*.c \
	$(pkg-config --libs json-c) -lpthread -o bin/review-case
