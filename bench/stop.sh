#!/usr/bin/env bash
# Restarts every host in turn under load and counts the errors that callers see.
BUILD=$1
FLEET_BASE_PORT=24000
# shellcheck source=bench/lib.sh
. "$(dirname "$0")/lib.sh"

fleet_platform
fleet_standin engine 24001 --slots 64 --token-us 4000
fleet_standin service 24003 --work-ms 5
wide_customer hanmae
engine e1 24001 64
fleet_ctl route set seat idempotent=false >/dev/null
fleet_ctl endpoint set s1 kind=service url=http://127.0.0.1:24003 route=seat >/dev/null
KEY=$(fleet_key hanmae)
five_hosts
"$BUILD/standin/load" "${HOSTS[@]}" --customer "hanmae=$KEY" --agents 40 \
  --turns 16 --tool-every 4 --branch-every 8 --pause-ms 60 --tokens 24 \
  --duration-s 20 >"$FLEET_DIR/report.json" 2>"$FLEET_DIR/load.log" &
load=$!
sleep 3
longest=0 bad=0
for host in a1 a2 b1 b2 c1; do
  started=$(date +%s%3N)
  kill -TERM "${FLEET_HOST_PID[$host]}"
  wait "${FLEET_HOST_PID[$host]}" || bad=$((bad + 1))
  took=$(($(date +%s%3N) - started))
  [ $took -gt $longest ] && longest=$took
  fleet_host $host
  sleep 1
done
wait $load
report=$FLEET_DIR/report.json
figure calls "$(jq '.customers[0].calls' "$report")" calls -
# streams_cut counts answers whose stream broke.  no_answer is a connection refused
# by a stopped host, which a load balancer would not have chosen.
figure refusals_caused "$(jq '[.customers[0].refusals | to_entries[] | select(.key != "no_answer") | .value] | add // 0' "$report")" calls 0
figure connections_refused "$(jq '.customers[0].refusals.no_answer // 0' "$report")" calls -
figure streams_cut "$(jq '.customers[0].cut' "$report")" calls 0
figure programs_lost "$(jq '.customers[0].lost' "$report")" programs 0
figure exits_not_0 "$bad" hosts 0
figure longest_stop_ms "$longest" ms -
