#!/usr/bin/env bash
# Measures the resource usage and latency of one entry process against stand-ins on the
# loopback address.
# Usage: scripts/measure.sh BINARY LABEL FLEET FILL_UPSTREAMS TEAMS [SECONDS] [LIST] [EXTRA_TOML]
#   FLEET           number of stand-in workers in domain d00, which the measured entry owns
#   FILL_UPSTREAMS  number of configured upstreams in each other domain (13 unless DOMAINS is set)
#   TEAMS           number of teams, each with a contract
#   SECONDS         duration of the measurement; 20 by default
#   LIST            1 also adds the upstreams of the other domains to the VM list
#   EXTRA_TOML      text appended to the settings of each entry
# Environment variables:
#   ENTRIES=N       starts N-1 more entries in the same domain; with REMOTE=1, in other domains
#   DOMAINS=N       number of failure domains; 14 by default
#   RUNNING=N       starts N standing tasks first, in jobs of 100
#   CHANGES=N       updates N contracts per second during the measurement
#   PATH_LOAD=1     also measures the latency of requests: directly to a worker, through the
#                   measured entry ("owner") and through a second one ("forwarded")
#   CALLERS="N ..." numbers of concurrent callers for PATH_LOAD; "1 8 32" by default
#   PORT=N          first port of the entries; random by default
#   SHOW_STATUS=1   prints the status of the measured entry
#   PROFILE=PATH    writes heap, goroutine and CPU profiles to PATH.heap and so on
set -euo pipefail
binary=$1 label=$2 fleet=$3 fill=$4 teams=$5 seconds=${6:-20} list=${7:-0} extra=${8:-}
dir=$(mktemp -d)
pids=()
cleanup() {
	local pid
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap cleanup EXIT

wait_for_address() { # FILE: waits until a stand-in has written its address to FILE, and prints it
	local i
	for i in $(seq 300); do
		if grep -q '^listening ' "$1"; then sed -n 's/^listening //p' "$1"; return; fi
		sleep 0.1
	done
	echo "no address in $1" >&2; return 1
}

# The ports of the entries lie below the range from which the system takes the ports of
# outgoing connections.
port=${PORT:-$((11000 + RANDOM % 20000))}
"$binary" dev platform >"$dir/platform" 2>&1 & pids+=($!)
platform=$(wait_for_address "$dir/platform")
if ((fill > 0 || teams > 0)); then
	flags=(); if ((list)); then flags=(--list); fi
	"$binary" measure fill --platform "$platform" --domains "${DOMAINS:-14}" --upstreams "$fill" --teams "$teams" "${flags[@]}"
fi
if ((fleet > 0)); then
	"$binary" dev fleet --platform "$platform" --domain d00 --count "$fleet" >"$dir/fleet" 2>&1 & pids+=($!)
	wait_for_address "$dir/fleet" >/dev/null
fi

start_entry() { # NUMBER DOMAIN: starts an entry and sets started to its process ID
	local n=$1 domain=$2 base=$((port + 3 * $1))
	cat >"$dir/e$n.toml" <<EOF
[entry]
vm = "e$n"
domain = "$domain"
region = "r"
[listen]
callers = "127.0.0.1:$base"
internal = "127.0.0.1:$((base + 1))"
operators = "127.0.0.1:$((base + 2))"
[platform]
log = ["$platform"]
vm_list = ["$platform"]
bootstrap_key = "boot.secret"
[shutdown]
balancer_delay = "10ms"
timeout = "5s"
$extra
EOF
	curl -sf -X PUT "http://$platform/v1/vms" -d "{\"id\":\"e$n\",\"incarnation\":\"1\",\"role\":\"entry\",\"state\":\"live\",\"region\":\"r\",\"domain\":\"$domain\",\"address\":\"127.0.0.1:$((base + 1))\"}"
	"$binary" run --config "$dir/e$n.toml" >"$dir/e$n.log" 2>&1 & pids+=($!)
	started=$!
}

api() { curl -sf -H 'Authorization: Bearer boot.secret' -H 'Content-Type: application/json' "$@"; }

start_entry 0 d00; pid=$started
base=$port ops=127.0.0.1:$((port + 2))
wait_until_ready() {
	local i
	for i in $(seq 600); do curl -sf "http://$ops/readyz" >/dev/null && return; sleep 0.1; done
	tail -5 "$dir/e0.log" >&2; return 1
}
# The other entries start only when the first one owns the shard.
wait_until_ready
for n in $(seq 1 $((${ENTRIES:-1} - 1))); do
	domain=d00; if ((${REMOTE:-0})); then domain=$(printf 'd%02d' $((n % 14))); fi
	start_entry "$n" "$domain"
done
sleep $((12 + fleet / 300))
if ((${RUNNING:-0} > 0 || ${PATH_LOAD:-0})); then
	key=$(api -X POST "http://127.0.0.1:$base/v1/keys" -d '{"base_version":-2,"id":"t1","team":"team001","role":"caller"}' | sed -n 's/.*"bearer":"\([^"]*\)".*/\1/p')
	sleep 2
fi
if ((${RUNNING:-0} > 0)); then
	for _ in $(seq $((RUNNING / 100))); do
		curl -sf -o /dev/null -H "Authorization: Bearer $key" -H 'Content-Type: application/json' "http://127.0.0.1:$base/v1/jobs" \
			-d '{"class":"standing","service":"fitting","tasks":100,"cpu_milli":100,"memory_mb":64}' || echo "submit failed" >&2
	done
	sleep 6
fi
if ((${SHOW_STATUS:-0})); then api "http://127.0.0.1:$base/v1/status"; echo; fi
put_contract() { # NUMBER: replaces the contract of a team
	api -o /dev/null -X PUT "http://127.0.0.1:$base/v1/contracts/team$(printf %03d $(($1 % 90)))" -d "{\"base_version\":-2,\"services\":[\"fitting\"],\"classes\":[\"request\"],\"submit_rate\":1000,\"submit_burst\":1000,\"max_queued\":$((1000 + $1)),\"weight\":1,\"limit\":{\"cpu_milli\":16000000,\"memory_mb\":32000000,\"accelerators\":0,\"slots\":4000}}" || echo "change failed" >&2
}
if ((${CHANGES:-0} > 0)); then
	(for i in $(seq $((CHANGES * (seconds + 3)))); do put_contract "$i" & sleep "$(echo "scale=3; 1/$CHANGES" | bc)"; done; wait) & pids+=($!)
	sleep 2
fi
"$binary" measure process --pid "$pid" --operators "$ops" --for "${seconds}s" --label "$label"
if [[ -n ${PROFILE:-} ]]; then
	curl -sf "http://$ops/debug/pprof/heap" >"$PROFILE.heap"
	curl -sf "http://$ops/debug/pprof/goroutine?debug=1" >"$PROFILE.goroutine"
	curl -sf "http://$ops/debug/pprof/profile?seconds=10" >"$PROFILE.cpu"
fi
if ((${PATH_LOAD:-0})); then
	"$binary" dev upstream --vm direct --domain d99 --service fitting >"$dir/direct" 2>&1 & pids+=($!)
	worker=$(wait_for_address "$dir/direct")
	for callers in ${CALLERS:-1 8 32}; do
		"$binary" measure path --worker "$worker" --callers "$callers" --label "direct" || true
		"$binary" measure process --pid "$pid" --operators "$ops" --for 4s --label "under load" & observer=$!
		"$binary" measure path --entry "127.0.0.1:$base" --key "$key" --callers "$callers" --label "owner" || true
		wait $observer
		if ((${ENTRIES:-1} > 1)); then
			"$binary" measure path --entry "127.0.0.1:$((base + 3))" --key "$key" --callers "$callers" --label "forwarded" || true
		fi
	done
fi
