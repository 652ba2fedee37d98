#!/bin/bash
# Measures real processes; docs/CAPACITY.md derives its slopes from the results.
# Not part of CI, since CPU times depend on the machine. Usage:
#   bench/measure_capacity.sh BUILD \
#	[workers|tasks|renewals|members|config|endpoints|memory]
# Each line of output is one run: key=value pairs, rates per second.
set -u
build=$1
only=${2:-all}
bin=$build/bin
seconds=${CAPACITY_SECONDS:-20}
port=${CAPACITY_BASE_PORT:-4000}
dir=$(mktemp -d)
pids=()

end_run() {
	local pid
	for pid in "${pids[@]}"; do
		kill "$pid" 2>/dev/null
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null
	done
	pids=()
}
trap 'end_run; rm -rf "$dir"' EXIT

run() { # NAME PROGRAM ARGUMENTS
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>&1 &
	pids+=($!)
}

# daemon PROGRAM NAME HTTP_PORT: starts a daemon in salkhi.tov-a; its link port
# is HTTP_PORT + 100.
daemon() {
	cat >"$dir/$2.json" <<-END
		{"node": "$2", "vm": "$2", "failure_domain": "tov-a",
		 "region": "tov", "service": "salkhi",
		 "http": "127.0.0.1:$3", "link": "127.0.0.1:$(($3 + 100))",
		 "platform": "127.0.0.1:$port",
		 "seeds": ["127.0.0.1:$((port + 300))"]}
	END
	run "$2" "$bin/$1" --settings "$dir/$2.json"
}

platform() {
	run platform "$bin/cs-standin-platform" --listen "127.0.0.1:$port"
	sleep 0.5
}

workers() { # COUNT
	run workers "$bin/cs-standin-worker" --count "$1" \
		--listen "127.0.0.1:$((port + 400))" \
		--platform "127.0.0.1:$port" --vm w --service salkhi \
		--failure-domain tov-a --rack r ${CAPACITY_WORKER_OPTIONS:-}
}

counter() { # HTTP_PORT NAME
	"$bin/csctl" --server "127.0.0.1:$1" counters |
		awk -v name="$2" '$1 == name { print $2 }'
}

# sample LABEL HTTP_PORT: prints the counters of one process as rates per second
# over the interval, and its memory.
sample() {
	local label=$1 at=$2 name line before=() after=() i pid
	for pid in "${pids[@]}"; do
		kill -0 "$pid" 2>/dev/null || echo "$label: a process has ended"
	done
	local names=(cs_process_cpu_us cs_http_client_sent_bytes
		cs_http_client_received_bytes cs_platform_sent_bytes
		cs_platform_received_bytes cs_link_sent_bytes
		cs_link_received_bytes cs_platform_reads_total
		cs_platform_writes_total cs_worker_calls cs_renewals)
	for name in "${names[@]}"; do
		before+=("$(counter "$at" "$name")")
	done
	sleep "$seconds"
	line="$label"
	for i in "${!names[@]}"; do
		after[i]=$(counter "$at" "${names[i]}")
		line+=$(awk -v n="${names[i]}" -v a="${before[i]:-0}" \
			-v b="${after[i]:-0}" -v s="$seconds" \
			'BEGIN { printf " %s=%.1f", n, (b - a) / s }')
	done
	echo "$line resident_kb=$(($(counter "$at" cs_process_resident_bytes) / 1024)) peak_kb=$(($(counter "$at" cs_process_peak_bytes) / 1024))"
}

apply_plan() { # HTTP_PORT
	"$bin/khuree-plan" >"$dir/plan.json"
	"$bin/csctl" --server "127.0.0.1:$1" apply \
		"$dir/plan.json" >/dev/null
}

# Measures the cost of a scheduler by the number of workers, without tasks.
measure_workers() {
	local count
	for count in 50 100 200 380; do
		platform
		workers "$count"
		daemon csschedd s0 $((port + 200))
		sleep 8
		sample "matter=workers workers=$count" $((port + 200))
		end_run
	done
}

# submit_jobs COUNT GATEWAY_PORT: submits jobs of 200 one-core tasks each.
submit_jobs() {
	local i
	for ((i = 0; i < $1; i++)); do
		CS_TOKEN=forecast-token "$bin/cscall" \
			--server "127.0.0.1:$2" submit \
			--id "j$i" '{"client_account": "forecast",
			"pool": "salkhi.tov-a", "class": "normal",
			"run_ms": 600000, "expected_run_ms": 600000,
			"is_checkpointable": true, "shape":
			{"members": 200, "accelerators": 0, "cores": 1,
			"memory_mb": 1, "adjacency": "none"}}' >/dev/null
	done
}

# Measures the cost of a scheduler by the number of tasks, on 380 workers.
measure_tasks() {
	local jobs
	for jobs in 0 10 20 40; do
		platform
		workers 380
		daemon csschedd s0 $((port + 200))
		daemon csgated g0 $((port + 210))
		sleep 6
		apply_plan $((port + 200))
		sleep 2
		submit_jobs "$jobs" $((port + 210))
		sleep 15
		sample "matter=tasks tasks=$((jobs * 200))" $((port + 200))
		end_run
	done
}

# Prints the index of the holder, found by its calls to workers: the pool may
# have moved to another scheduler after the start.
find_holder() { # SCHEDULERS
	local i before=()
	for ((i = 0; i < $1; i++)); do
		before+=("$(counter $((port + 200 + i)) cs_worker_calls)")
	done
	sleep 5
	for ((i = 0; i < $1; i++)); do
		[ "$(counter $((port + 200 + i)) cs_worker_calls)" = \
			"${before[i]}" ] || echo "$i"
	done | head -n 1
}

# Measures the cost of renewals for 380 workers and 8,000 tasks, at the holder
# and at one delegate, by the number of schedulers that share them.
measure_renewals() {
	local count i holder
	for count in ${CAPACITY_SCHEDULERS:-1 4 8}; do
		platform
		workers 380
		for ((i = 0; i < count; i++)); do
			daemon csschedd "s$i" $((port + 200 + i))
		done
		daemon csgated g0 $((port + 220))
		sleep 8
		apply_plan $((port + 220))
		sleep 2
		submit_jobs 40 $((port + 220))
		sleep 40
		holder=$(find_holder "$count")
		sample "matter=renewals schedulers=$count part=holder" \
			$((port + 200 + holder))
		[ "$count" = 1 ] ||
			sample "matter=renewals schedulers=$count part=delegate" \
				$((port + 200 + (holder + 1) % count))
		end_run
	done
}

# Measures the cost of a gateway without requests, by the number of processes in
# its failure domain.
measure_members() {
	local count i
	for count in 2 4 8 16 32; do
		platform
		for ((i = 0; i < count; i++)); do
			daemon csgated "g$i" $((port + 200 + i))
		done
		sleep 8
		sample "matter=members members=$count" $((port + 200))
		end_run
	done
}

# Measures the cost of a configuration change at a process other than the one
# that accepts it.
measure_config() {
	local i
	platform
	daemon csgated g0 $((port + 200))
	for i in 1 2 3; do
		daemon csgated "g$i" $((port + 200 + i))
	done
	sleep 5
	sample "matter=config changes_per_s=0" $((port + 203))
	(
		"$bin/khuree-plan" >"$dir/a.json"
		sed 's/"share": 8/"share": 9/' "$dir/a.json" >"$dir/b.json"
		for ((i = 0; i < seconds * 2; i++)); do
			if [ $((i % 2)) -eq 0 ]; then f=a; else f=b; fi
			"$bin/csctl" --server "127.0.0.1:$((port + 200))" \
				apply "$dir/$f.json" >/dev/null
			sleep 0.45
		done
	) &
	sleep 0.5
	local before after
	before=$("$bin/csctl" --server "127.0.0.1:$((port + 203))" config |
		sed -n 's/.*"version": \([0-9]*\).*/\1/p' | head -n 1)
	sample "matter=config changes_per_s=many" $((port + 203))
	after=$("$bin/csctl" --server "127.0.0.1:$((port + 203))" config |
		sed -n 's/.*"version": \([0-9]*\).*/\1/p' | head -n 1)
	echo "matter=config versions=$((${after:-0} - ${before:-0})) seconds=$seconds"
	wait $!
	end_run
}

# Measures the cost of a gateway without requests, by the number of endpoints.
measure_endpoints() {
	local count
	for count in 50 200 800; do
		platform
		run runners "$bin/cs-standin-runner" --count "$count" \
			--listen "127.0.0.1:$((port + 400))" \
			--platform "127.0.0.1:$port" --vm r --service salkhi \
			--failure-domain tov-a
		daemon csgated g0 $((port + 200))
		sleep 8
		sample "matter=endpoints endpoints=$count" $((port + 200))
		end_run
	done
}

# add_vms COUNT: lists VMs in ten other failure domains; each has 8 entry VMs, 42
# endpoints, and workers for the rest.
add_vms() {
	awk -v n="$1" 'BEGIN {
		printf "{\"add_vms\":["
		for (i = 0; i < n; i++) {
			k = int(i / 10)
			role = k < 8 ? "entry" : k < 50 ? "endpoint" : "worker"
			printf "%s{\"vm\":\"vm-%06d\",\"role\":\"%s\",", \
				i ? "," : "", i, role
			printf "\"service\":\"salkhi\",\"failure_domain\":" \
				"\"far-%d\",\"rack\":\"rack-%04d\",", \
				i % 10, i / 40
			printf "\"address\":\"10.1.%d.%d:7301\",", \
				i / 256, i % 256
			printf "\"accelerators\":8,\"cores\":64," \
				"\"memory_mb\":131072}"
		}
		printf "]}"
	}' >"$dir/vms.json"
	exec 3<>"/dev/tcp/127.0.0.1/$port"
	printf 'POST /control HTTP/1.1\r\nHost: platform\r\n%s\r\n%s%d\r\n\r\n' \
		'Connection: close' 'Content-Length: ' \
		"$(wc -c <"$dir/vms.json")" >&3
	cat "$dir/vms.json" >&3
	cat <&3 >"$dir/vms.out"
	exec 3>&-
}

# Measures the memory of both processes of a VM, where the scheduler holds 380
# workers and 8,000 tasks, without and with a VM list of full size. The peak
# includes the start of the process.
measure_memory() {
	local vms
	for vms in 0 4300; do
		platform
		[ "$vms" = 0 ] || add_vms "$vms"
		workers 380
		sleep 2
		daemon csschedd s0 $((port + 200))
		daemon csgated g0 $((port + 210))
		sleep 15
		apply_plan $((port + 200))
		sleep 2
		submit_jobs 40 $((port + 210))
		sleep 20
		sample "matter=memory vms=$vms part=holder" $((port + 200))
		sample "matter=memory vms=$vms part=gateway" $((port + 210))
		end_run
	done
}

for matter in workers tasks renewals members config endpoints memory; do
	if [ "$only" = all ] || [ "$only" = "$matter" ]; then
		"measure_$matter"
	fi
done
