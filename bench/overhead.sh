#!/usr/bin/env bash
# Measures the latency and CPU time that one host adds per call, compared with the
# same load sent directly to the engine stand-in in the same run.
BUILD=$1
FLEET_BASE_PORT=21000
# shellcheck source=bench/lib.sh
. "$(dirname "$0")/lib.sh"

fleet_platform
fleet_standin engine 21001 --slots 20000 --token-us 500 --prefill-us 0
wide_customer bench
engine e1 21001 20000
KEY=$(fleet_key bench)
fleet_settings h1 dc-a 1 no '"log_level": "warn",'
fleet_host h1
fleet_wait_http "$(operator 1)/status"
fleet_ctl wait >/dev/null
fleet_wait_slots 1
sleep 1
PID=${FLEET_HOST_PID[h1]}

run () { # OPTION...
  "$BUILD/standin/load" --customer "bench=$KEY" "$@"
}
customer_field () { jq ".customers[0].$2" <<<"$1"; }

# Latency at 1,000 calls/s: 100 agents that pause about 100 ms between calls.
common=(--agents 100 --pause-ms 97 --tokens 4 --turns 10 --duration-s 8)
direct=$(run --direct http://127.0.0.1:21001 "${common[@]}")
before=$(cpu_ticks "$PID")
through=$(run --host "$(caller 1)" "${common[@]}")
after=$(cpu_ticks "$PID")
calls=$(customer_field "$through" calls)
figure calls_per_s "$(calc "$calls / $(jq .seconds <<<"$through")")" 1/s -
figure direct_p50_ms "$(customer_field "$direct" call_p50_ms)" ms -
figure through_p50_ms "$(customer_field "$through" call_p50_ms)" ms -
figure added_p50_ms "$(calc "$(customer_field "$through" call_p50_ms) - $(customer_field "$direct" call_p50_ms)")" ms 0.3
figure added_p99_ms "$(calc "$(customer_field "$through" call_p99_ms) - $(customer_field "$direct" call_p99_ms)")" ms 1.5
cpu_call=$(calc "($after - $before) * 10000 / $calls")
figure cpu_per_call_of_4_tokens "$cpu_call" us -

# Token throughput: 400 streams at the highest rate of one host.
before=$(cpu_ticks "$PID")
through=$(run --host "$(caller 1)" --agents 400 --tokens 2000 --turns 1 --duration-s 8)
after=$(cpu_ticks "$PID")
tokens=$(jq .tokens <<<"$through")
figure tokens_per_s "$(jq .tokens_per_s <<<"$through")" 1/s 100000 ge
cpu_token=$(calc "($after - $before) * 10000 / $tokens")
figure cpu_per_token "$cpu_token" us -
figure cpu_per_call_without_tokens "$(calc "$cpu_call - 4 * $cpu_token")" us -

# Memory: 5,000 concurrent slow streams.
pkill -P $$ -f "mode engine" || true
fleet_standin engine 21009 --slots 20000 --token-us 1000000 --prefill-us 0
engine e1 21009 20000
fleet_ctl wait >/dev/null
sleep 1
rss_before=$(rss_kb "$PID")
run --host "$(caller 1)" --agents 5000 --tokens 12 --turns 1 --duration-s 1 >"$FLEET_DIR/streams.json" &
load=$!
open=0
for _ in $(seq 100); do
  sleep 0.1
  open=$(curl -s "$(operator 1)/counters" | jq .streams_open)
  [ "$open" -ge 5000 ] && break
done
rss_during=$(rss_kb "$PID")
wait $load
figure streams_open "$open" streams 5000 ge
figure memory_per_stream "$(calc "($rss_during - $rss_before) / ($open > 0 ? $open : 1)")" KB 32

# The latency load again, with two copies of each turn on disk.
fleet_settings h2 dc-a 2 yes '"log_level": "warn",'
fleet_settings h3 dc-b 3 yes '"log_level": "warn",'
fleet_standin engine 21008 --slots 20000 --token-us 500 --prefill-us 0
engine e1 21008 20000
fleet_host h2; fleet_host h3
fleet_wait_http "$(operator 2)/status"; fleet_wait_http "$(operator 3)/status"
fleet_ctl wait >/dev/null
sleep 2
through=$(run --host "$(caller 1)" "${common[@]}")
figure added_p50_with_two_copies_ms "$(calc "$(customer_field "$through" call_p50_ms) - $(customer_field "$direct" call_p50_ms)")" ms -
figure added_p99_with_two_copies_ms "$(calc "$(customer_field "$through" call_p99_ms) - $(customer_field "$direct" call_p99_ms)")" ms -
