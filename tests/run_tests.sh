#!/bin/bash
# Runs every test program, CS_TEST_JOBS at a time, and prints "N passed, N
# failed" as the last line. Failures listed in KNOWN-RED.txt are printed but not
# counted; a listed test that passes counts as failed.
set -u
build=$1
jobs=${CS_TEST_JOBS:-3}
passed=0
failed=0
known=0
logs=$build/test-logs
mkdir -p "$logs"
rm -rf "${logs:?}"/*

is_known() {
	[ -f KNOWN-RED.txt ] && grep -qx "test: $1" KNOWN-RED.txt
}

count_result() {
	local name=$1 result=$2
	if is_known "$name"; then
		if [ "$result" = ok ]; then
			echo "FAILED $name: listed in KNOWN-RED.txt but passes"
			failed=$((failed + 1))
		else
			echo "KNOWN RED $name"
			known=$((known + 1))
		fi
	elif [ "$result" = ok ]; then
		passed=$((passed + 1))
	else
		echo "FAILED $name"
		failed=$((failed + 1))
	fi
}

# In a sanitizer build, undefined behaviour ends the program.
export UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1

run_program() {
	local test=$1 log=$logs/$(basename "$1").log
	mkdir -p "$log.tmp"
	TMPDIR=$PWD/$log.tmp CS_BUILD=$build timeout 900 "$test" --tap -k >"$log" 2>&1
	echo $? >"$log.code"
}

# Prints the last log lines of the processes that a test program left behind,
# which belong to the test that didn't finish.
print_process_logs() {
	local file
	for file in "$1"/*/*.log; do
		[ -s "$file" ] || continue
		echo "last of ${file##*.tmp/}:"
		tail -n 5 "$file" | cut -c1-300
	done | tail -n 80
}

count_program() {
	local name=$1 log=$logs/$1.log code plan seen result line
	code=$(cat "$log.code")
	while read -r result line; do
		count_result "$name $line" "$result"
	done < <(sed -nE 's/^(not )?ok [0-9]+ ([^ ]+).*/\1|\2/p' "$log" |
		sed -e 's/^not |/bad /' -e 's/^|/ok /')
	plan=$(sed -nE 's/^1\.\.([0-9]+)$/\1/p' "$log" | head -n 1)
	seen=$(grep -cE '^(not )?ok [0-9]+' "$log")
	if [ "$seen" != "${plan:-none}" ]; then
		echo "FAILED $name: $seen of ${plan:-none} cases, exit code $code"
		echo "last of its log:"
		grep -v GLib-GIO-DEBUG "$log" | tail -n 5
		print_process_logs "$log.tmp"
		failed=$((failed + 1))
	elif [ "$code" -ne 0 ] && ! grep -q '^not ok' "$log"; then
		# For example, a sanitizer's report at exit.
		echo "FAILED $name: exit code $code"
		failed=$((failed + 1))
	fi
	grep -E '^(not ok|Bail out|.*ERROR)' "$log" | head -n 20
}

# These measure a process's memory, apart from other load.
is_alone() {
	[ "$(basename "$1")" = test_client_limits ]
}

programs=()
for test in "$build"/tests/test_*; do
	case $test in *.o | *.d) continue ;; esac
	[ -x "$test" ] && programs+=("$test")
done
for test in "${programs[@]}"; do
	is_alone "$test" && continue
	while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do
		wait -n
	done
	run_program "$test" &
done
wait
for test in "${programs[@]}"; do
	is_alone "$test" && run_program "$test"
done
for test in "${programs[@]}"; do
	count_program "$(basename "$test")"
done

for check in tests/check_docs.sh tests/check_wire.sh; do
	if $check; then
		passed=$((passed + 1))
	else
		failed=$((failed + 1))
	fi
done
[ "$known" -gt 0 ] && echo "$known known red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
