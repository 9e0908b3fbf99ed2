#!/usr/bin/env bash
# The main job on stand-ins: three hosts in two data centres run Hanmae's and
# Kajaste's programs, and a table tells how they fared.
set -euo pipefail
BUILD=$(cd "${1:-build}" && pwd)
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh

echo "starting the stand-ins and three hosts in two data centres ..."
fleet_platform
fleet_standin engine $((FLEET_BASE_PORT + 1)) --slots 16
fleet_standin engine $((FLEET_BASE_PORT + 2)) --slots 16
fleet_standin service $((FLEET_BASE_PORT + 3)) --work-ms 5
cat >"$FLEET_DIR/config.json" <<CONFIG
[
  {"kind": "template", "name": "agents",
   "data": {"rate_per_minute": 60000, "burst": 400, "budget_calls": 200}},
  {"kind": "customer", "name": "hanmae", "data": {"template": "agents"}},
  {"kind": "customer", "name": "kajaste",
   "data": {"template": "agents", "weight": 2}},
  {"kind": "endpoint", "name": "engine-1",
   "data": {"kind": "engine", "url": "http://127.0.0.1:$((FLEET_BASE_PORT + 1))",
            "slots": 16}},
  {"kind": "endpoint", "name": "engine-2",
   "data": {"kind": "engine", "url": "http://127.0.0.1:$((FLEET_BASE_PORT + 2))",
            "slots": 16}},
  {"kind": "route", "name": "seat", "data": {"idempotent": false}},
  {"kind": "endpoint", "name": "seats",
   "data": {"kind": "service", "route": "seat",
            "url": "http://127.0.0.1:$((FLEET_BASE_PORT + 3))"}}
]
CONFIG
fleet_ctl apply -f "$FLEET_DIR/config.json"
hanmae_key=$(fleet_key hanmae)
kajaste_key=$(fleet_key kajaste)
fleet_settings a1 kr-south-a 1 yes
fleet_settings a2 kr-south-a 2 no
fleet_settings b1 kr-south-b 3 yes
fleet_host a1; fleet_host a2; fleet_host b1
for i in 1 2 3; do
  fleet_wait_http "http://127.0.0.1:$((FLEET_BASE_PORT + 300 + i))/status"
done
fleet_ctl wait
fleet_wait_slots 2

echo "running programs with tool pauses and sub-agents ..."
"$BUILD/standin/load" \
  --host "http://127.0.0.1:$((FLEET_BASE_PORT + 101))" \
  --host "http://127.0.0.1:$((FLEET_BASE_PORT + 102))" \
  --host "http://127.0.0.1:$((FLEET_BASE_PORT + 103))" \
  --customer "hanmae=$hanmae_key" --customer "kajaste=$kajaste_key" \
  --agents 8 --programs 40 --turns 8 --tool-every 4 --branch-every 5 \
  --pause-ms 20 --tokens 24 >"$FLEET_DIR/report.json"

echo
jq -r '(["CUSTOMER", "FINISHED", "LOST", "WRONG", "CALLS", "DOUBTFUL",
         "PROGRAM p50 ms", "PROGRAM p95 ms", "REFUSALS"],
        (.customers[] | [.customer, .finished, .lost,
          .wrong_history + .wrong_turn, .calls, .doubtful,
          (.program_p50_ms | round), (.program_p95_ms | round),
          (.refusals | tostring)])) | @tsv' "$FLEET_DIR/report.json" \
  | column -t -s "$(printf '\t')"
duplicates=$(curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + 3))/counts" \
  | jq '[.counts[] | select(. > 1)] | length')
echo "tool calls that ran more than once: $duplicates"
jq -e '[.customers[] | .lost + .wrong_history + .wrong_turn] | add == 0' \
  "$FLEET_DIR/report.json" >/dev/null && [ "$duplicates" = 0 ]
