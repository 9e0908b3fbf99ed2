# Shared helpers of the functional tests.  Source this file with BUILD set.
# shellcheck shell=bash
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
# A sync of the machine's disk can take seconds beside other writers, so hosts
# that must answer in time have their data in memory.
if [ -w /dev/shm ]; then
  FLEET_DATA_DIR=$(mktemp -d /dev/shm/galenashore-XXXXXX)
fi
# shellcheck source=scripts/fleet.sh
. "$ROOT/scripts/fleet.sh"
PASSED=0

# Logs and disks of a failed test are kept, and named.
fail () {
  echo "FAILED: $*; logs in $FLEET_DIR" >&2
  FLEET_KEEP=yes
  tail -n 5 "$FLEET_DIR"/*.log >&2 2>/dev/null || true
  exit 1
}

pass () {
  PASSED=$((PASSED + 1))
  echo "ok: $*"
}

# expect NAME PATTERN TEXT: passes if TEXT matches the extended regexp PATTERN
expect () {
  if grep -qE -- "$2" <<<"$3"; then pass "$1"; else fail "$1: no /$2/ in: $3"; fi
}

# Ends the test.  Sanitizer builds report faults in the hosts' logs, so these
# are searched first.
finish () {
  if grep -lE 'WARNING: ThreadSanitizer|ERROR: AddressSanitizer|runtime error:' "$FLEET_DIR"/*.log; then
    grep -hE -A 60 'WARNING: ThreadSanitizer|ERROR: AddressSanitizer|runtime error:' "$FLEET_DIR"/*.log \
      | head -400 >&2
    fail "a sanitizer reported a fault"
  fi
  echo "$PASSED passed, 0 failed"
}

caller () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 100 + $1))"; }
operator () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 300 + $1))"; }
service_url () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 3))"; }
engine_url () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + $1))"; }

# Starts five hosts in three data centres, two engines and one service.
start_fleet () {
  fleet_platform
  fleet_standin engine $((FLEET_BASE_PORT + 1)) --slots 64 --token-us 2000 --record
  fleet_standin engine $((FLEET_BASE_PORT + 2)) --slots 64 --token-us 2000 --record
  fleet_standin service $((FLEET_BASE_PORT + 3)) --work-ms 2 --record
  cat >"$FLEET_DIR/config.json" <<CONFIG
[
  {"kind": "template", "name": "agents",
   "data": {"rate_per_minute": 600000, "burst": 2000}},
  {"kind": "customer", "name": "hanmae", "data": {"template": "agents"}},
  {"kind": "customer", "name": "kajaste", "data": {"template": "agents"}},
  {"kind": "endpoint", "name": "e1",
   "data": {"kind": "engine", "url": "$(engine_url 1)", "slots": 64,
            "credential": "engine-secret"}},
  {"kind": "endpoint", "name": "e2",
   "data": {"kind": "engine", "url": "$(engine_url 2)", "slots": 64,
            "credential": "engine-secret"}},
  {"kind": "route", "name": "seat", "data": {"idempotent": false}},
  {"kind": "route", "name": "public",
   "data": {"idempotent": true, "open_to_all": true}},
  {"kind": "endpoint", "name": "s1",
   "data": {"kind": "service", "route": "seat", "url": "$(service_url)"}},
  {"kind": "endpoint", "name": "s2",
   "data": {"kind": "service", "route": "public", "url": "$(service_url)"}}
]
CONFIG
  fleet_ctl apply -f "$FLEET_DIR/config.json" >/dev/null
  HANMAE=$(fleet_key hanmae)
  KAJASTE=$(fleet_key kajaste)
  local index=0 host data
  for host in a1 a2 b1 b2 c1; do
    index=$((index + 1))
    case $host in a1 | b1 | c1) data=yes ;; *) data=no ;; esac
    fleet_settings "$host" "dc-${host%?}" "$index" "$data" '"log_level": "debug",'
    fleet_host "$host"
  done
  for index in 1 2 3 4 5; do fleet_wait_http "$(operator "$index")/status"; done
  fleet_ctl wait --timeout-s 60 >/dev/null
  fleet_wait_slots 3
}

# start_load [OPTION...]: runs the load generator in the background; it writes
# its results to report.json
start_load () {
  local index hosts=()
  for index in 1 2 3 4 5; do hosts+=(--host "$(caller "$index")"); done
  "$BUILD/standin/load" "${hosts[@]}" \
    --customer "hanmae=$HANMAE" --customer "kajaste=$KAJASTE" \
    --agents 6 --turns 10 --tool-every 4 --branch-every 6 --pause-ms 30 \
    --tokens 12 "$@" >"$FLEET_DIR/report.json" 2>"$FLEET_DIR/load.log" &
  LOAD_PID=$!
  FLEET_PIDS+=("$LOAD_PID")
}

# Waits for the load generator and checks that no program was lost, every
# history is complete and in order, and no tool call was executed twice.
check_load () {
  wait "$LOAD_PID" || fail "the load generator exited with status $?"
  jq -e '[.customers[] | .lost] | add == 0' "$FLEET_DIR/report.json" >/dev/null \
    || fail "programs lost: $(cat "$FLEET_DIR/report.json" "$FLEET_DIR/load.log")"
  pass "no program is lost"
  jq -e '[.customers[] | .wrong_history + .wrong_turn] | add == 0' \
    "$FLEET_DIR/report.json" >/dev/null \
    || fail "wrong histories: $(cat "$FLEET_DIR/load.log")"
  pass "every history is complete and in order"
  [ "$(curl -s "$(service_url)/counts" \
      | jq '[.counts[] | select(. > 1)] | length')" = 0 ] \
    || fail "a tool call ran twice"
  pass "no tool call ran twice"
}

# block INDEX... -- HOST...: blocks traffic from the hosts at INDEX to each HOST,
# or unblocks it with UNBLOCK=1
block () {
  local from=() index host
  while [ "$1" != -- ]; do from+=("$1"); shift; done
  shift
  for index in "${from[@]}"; do
    for host in "$@"; do
      curl -s -m 2 -X POST -o /dev/null \
        "$(operator "$index")/test/block?host=$host${UNBLOCK:+&off=1}"
    done
  done
}

# open_program KEY HOST-INDEX: sets PROGRAM and CURSOR.  Prints a refusal with
# retry_after_ms to stderr and retries after 0.3 s.
open_program () {
  local answer i
  for i in $(seq 20); do
    answer=$(curl -s -X POST -H "Authorization: Bearer $1" "$(caller "$2")/v1/programs")
    PROGRAM=$(jq -r .program <<<"$answer")
    CURSOR=$(jq -r .cursor <<<"$answer")
    [ "$(jq -r '.error.run // "ran"' <<<"$answer")" = not_run ] || return 0
    [ "$(jq -r '.error.retry_after_ms // 0' <<<"$answer")" -gt 0 ] || return 0
    echo "program refused, attempt $i: $answer" >&2
    sleep 0.3
  done
}

# owner_of PROGRAM: prints the name of the host that owns it
owner_of () {
  fleet_ctl --json program list | jq -r --arg p "$1" '.[] | select(.program == $p) | .host'
}
