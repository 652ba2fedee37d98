#!/bin/bash
# Runs every benchmark, checks its deterministic bounds and prints
# "N passed, N failed" as the last line. Output files go to BUILD/bench.
set -u
build=$1
passed=0
failed=0
out=$build/bench
mkdir -p "$out"

for bench in "$build"/bin/bench_*; do
	[ -x "$bench" ] || continue
	name=$(basename "$bench")
	log=$out/$name.txt
	echo "== $name"
	CS_BENCH_OUT=$out timeout 900 "$bench" --check >"$log" 2>&1
	code=$?
	cat "$log"
	counts=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' "$log" | tail -n 1)
	read -r good _ bad _ <<<"${counts:-0 passed, 1 failed}"
	passed=$((passed + good))
	failed=$((failed + bad))
	[ "$code" -ne 0 ] && [ "$bad" -eq 0 ] && failed=$((failed + 1))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
