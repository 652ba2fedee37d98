#!/bin/bash
# End-to-end demonstration with local processes on loopback: two deployments
# with two entry VMs in each failure domain, requests, gangs, and entry
# processes that are killed. Exits by itself, with code 0 if no check failed.
set -u
build=$1
bin=$build/bin
dir=$(mktemp -d)
pids=()
failures=0
base_port=${DEMO_BASE_PORT:-7000}
tov_platform=127.0.0.1:$base_port
lagos_platform=127.0.0.1:$((base_port + 1))
operator_token=demo-operator

say() { printf '\n== %s\n' "$*"; }

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
	rm -rf "$dir"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS: runs a program in the background; its output
# and log go to files.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pids+=($!)
	eval "pid_${name//-/_}=$!"
}

# expect WHAT COMMAND: counts a failure unless the command succeeds.
expect() {
	local what=$1
	shift
	if "$@"; then
		echo "ok: $what"
	else
		echo "FAILED: $what"
		failures=$((failures + 1))
	fi
}

# expect_text WHAT TEXT COMMAND: counts a failure unless the command's output
# contains the text.
expect_text() {
	local what=$1 text=$2 output
	shift 2
	output=$("$@" 2>&1)
	if grep -qF -- "$text" <<<"$output"; then
		echo "ok: $what: $(head -c 160 <<<"$output" | head -n 1)"
	else
		echo "FAILED: $what: $output"
		failures=$((failures + 1))
	fi
}

# write_settings NAME VM SERVICE DOMAIN REGION PLATFORM HTTP_PORT LINK_PORT
write_settings() {
	cat >"$dir/$1.json" <<-END
		// Settings of one process; addresses are numeric.
		{
		  "node": "$1", "vm": "$2", "service": "$3",
		  "failure_domain": "$4", "region": "$5",
		  "http": "127.0.0.1:$7", "link": "127.0.0.1:$8",
		  "platform": "$6",
		  "operator_token": "$operator_token",
		  "link_secret": "demo-secret",
		  "seeds": [$seeds]
		}
	END
}

# start_domain SERVICE DOMAIN REGION PLATFORM FIRST_PORT: two entry VMs, each
# with a gateway and a scheduler, and groups of runners and workers.
start_domain() {
	local service=$1 domain=$2 region=$3 platform=$4 port=$5 i
	start "runners-$domain" "$bin/cs-standin-runner" --count 4 \
		--listen "127.0.0.1:$((port + 30))" --platform "$platform" \
		--vm "$domain-runner" --service "$service" \
		--failure-domain "$domain"
	start "workers-$domain" "$bin/cs-standin-worker" --count 8 \
		--listen "127.0.0.1:$((port + 40))" --platform "$platform" \
		--vm "$domain-worker" --service "$service" \
		--failure-domain "$domain" --rack "$domain-rack"
	for i in 1 2; do
		write_settings "gate-$domain-$i" "$domain-vm$i" "$service" \
			"$domain" "$region" "$platform" \
			$((port + 2 * i - 2)) $((port + 8 + 2 * i))
		write_settings "sched-$domain-$i" "$domain-vm$i" "$service" \
			"$domain" "$region" "$platform" \
			$((port + 2 * i - 1)) $((port + 9 + 2 * i))
		expect "settings of gate-$domain-$i" "$bin/csgated" --check \
			--settings "$dir/gate-$domain-$i.json"
		start "gate-$domain-$i" "$bin/csgated" \
			--settings "$dir/gate-$domain-$i.json"
		start "sched-$domain-$i" "$bin/csschedd" \
			--settings "$dir/sched-$domain-$i.json"
	done
}

ctl() { CS_TOKEN=$operator_token "$bin/csctl" --server "$tov" "$@"; }
ctl_lagos() { CS_TOKEN=$operator_token "$bin/csctl" --server "$lagos" "$@"; }
riders() { CS_TOKEN=riders-token "$bin/cscall" --server "$tov" "$@"; }
forecast() { CS_TOKEN=forecast-token "$bin/cscall" --server "$tov" "$@"; }
editors() { CS_TOKEN=editors-token "$bin/cscall" --server "$lagos" "$@"; }

# retry SECONDS COMMAND: repeats the command until it succeeds; fails when the
# time is up.
retry() {
	local deadline=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$deadline" ] || return 1
		sleep 0.2
	done
}

# job_state ID: prints the current state of a job.
job_state() {
	forecast --json watch "$1" --pool salkhi.tov-a 2>&1 &
	local pid=$!
	sleep 0.1
	kill "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
}

is_running() { job_state "$1" | grep -q " running"; }

tov=127.0.0.1:$((base_port + 100)),127.0.0.1:$((base_port + 102))
lagos=127.0.0.1:$((base_port + 200)),127.0.0.1:$((base_port + 202))

say "Starting two platforms and three failure domains"
start tov-platform "$bin/cs-standin-platform" --listen "$tov_platform"
start lagos-platform "$bin/cs-standin-platform" --listen "$lagos_platform"
sleep 0.3
seeds="\"127.0.0.1:$((base_port + 110))\", \"127.0.0.1:$((base_port + 160))\""
start_domain salkhi tov-a tov "$tov_platform" $((base_port + 100))
start_domain salkhi tov-b tov "$tov_platform" $((base_port + 150))
seeds="\"127.0.0.1:$((base_port + 210))\""
start_domain slipdesk lagos-ikeja lagos "$lagos_platform" $((base_port + 200))
expect "tov answers" retry 15 ctl config
expect "lagos answers" retry 15 ctl_lagos config

say "Applying the configurations that the operators' library prints"
"$bin/khuree-plan" >"$dir/khuree.json"
"$bin/slipdesk-plan" >"$dir/slipdesk.json"
expect "csctl check" "$bin/csctl" check "$dir/khuree.json"
expect "csctl apply --dry-run" ctl apply --dry-run "$dir/khuree.json"
expect "csctl apply" ctl apply "$dir/khuree.json"
expect "csctl apply, slipdesk" ctl_lagos apply "$dir/slipdesk.json"
in_force() { "$1" config | grep -q '"version": 1'; }
expect "in force in tov within 5 s" retry 5 in_force ctl
expect "in force in lagos within 5 s" retry 5 in_force ctl_lagos
sleep 2 # the platform's VM list lags behind

say "Requests: each gets one complete answer"
spot=(request --account riders --service salkhi --class spot)
read_slip=(request --account editors --service slipdesk --class spot)
bulletin=(request --account rescue --service salkhi --class spot
	--not-repeatable --key bulletin-1
	--payload '{"key": "bulletin-1", "work_ms": 20}')
rescue() { CS_TOKEN=rescue-token "$bin/cscall" --server "$tov" "$@"; }
expect "first spot check" retry 10 riders "${spot[@]}"
for i in 1 2 3; do
	expect_text "spot check $i" done riders "${spot[@]}" \
		--payload "{\"spot\": $i}"
done
expect_text "slip read" done editors "${read_slip[@]}" --payload '{"slip": 7}'
expect_text "bulk rerun" done forecast request --account forecast \
	--service salkhi --class bulk --deadline-ms 20000 \
	--payload '{"rerun": 1}'
expect_text "bulletin, may run only once" done rescue "${bulletin[@]}"
expect_text "bulletin again with the same key" done rescue "${bulletin[@]}"
expect_text "unknown account is refused" "not run" riders request \
	--account nobody --service salkhi
expect_text "another account's token is refused" "not run" forecast \
	request --account riders --service salkhi

say "Jobs: a gang starts as a whole, one that can never fit is refused"
expect_text "submit gust-map" accepted forecast submit gust-map \
	--id gust-1 --run-ms 12000
expect "gust-1 runs" retry 15 is_running gust-1
impossible_job='{"client_account": "forecast", "pool": "salkhi.tov-a",
 "class": "bulk", "run_ms": 1000, "expected_run_ms": 1000,
 "is_checkpointable": true,
 "shape": {"members": 64, "accelerators": 8, "cores": 1, "memory_mb": 1,
           "adjacency": "rack"}}'
expect_text "submit a gang of 512 accelerators" accepted forecast submit \
	"$impossible_job" --id never-1
expect_text "it is refused with the reason" refused forecast watch never-1 \
	--pool salkhi.tov-a
ctl explain job gust-1 --pool salkhi.tov-a

say "Killing the entry process gate-tov-a-1 and the pool's scheduler"
kill -9 "$pid_gate_tov_a_1"
kill -9 "$pid_sched_tov_a_1"
wait "$pid_gate_tov_a_1" "$pid_sched_tov_a_1" 2>/dev/null
expect_text "next spot check" done riders "${spot[@]}"
expect_text "gust-1 continues and completes" "gust-1 done" \
	forecast watch gust-1 --pool salkhi.tov-a

say "Peak resident memory of each process"
for name in tov-platform gate-tov-a-2 sched-tov-a-2 gate-lagos-ikeja-1 \
	sched-lagos-ikeja-1 runners-tov-a workers-tov-a; do
	pid_var=pid_${name//-/_}
	printf '%-22s %s\n' "$name" \
		"$(sed -n 's/^VmHWM:\s*//p' "/proc/${!pid_var}/status")"
done

say "Graceful shutdown"
kill -TERM "$pid_gate_tov_a_2"
wait "$pid_gate_tov_a_2"
expect "gate-tov-a-2 ended with exit code 0" test $? -eq 0

say "$failures failures"
if [ "$failures" -gt 0 ]; then
	for log in "$dir"/*.log; do
		echo "-- $(basename "$log")"
		grep -E 'level=(warn|error)' "$log" | tail -n 5
	done
fi
[ "$failures" -eq 0 ]
