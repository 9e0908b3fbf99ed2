#!/usr/bin/env bash
# Evacuations of data centres with real hosts, a stand-in for the platform's
# store, and galenactl.
BUILD=$1
FLEET_BASE_PORT=14500
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"

STORE=127.0.0.1:$FLEET_BASE_PORT
create () { curl -s -o /dev/null -X POST -H 'Content-Type: application/json' -d "$2" "http://$STORE/objects/$1"; }
evacuate () { "$BUILD/galenactl/galenactl" -p "http://$STORE" evacuate "$@"; }
count () { curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + $1))/counts" | jq '[.counts[]] | add // 0'; }

# host NAME DC INDEX
host () {
  cat >"$FLEET_DIR/$1.json" <<SETTINGS
{
  "host": "$1", "data_centre": "$2", "role": "entry",
  "caller_listen": "127.0.0.1:$((FLEET_BASE_PORT + 100 + $3))",
  "peer_listen": "127.0.0.1:$((FLEET_BASE_PORT + 200 + $3))",
  "metrics_listen": "127.0.0.1:$((FLEET_BASE_PORT + 300 + $3))",
  "health_listen": "127.0.0.1:$((FLEET_BASE_PORT + 400 + $3))",
  "store_address": "$STORE", "seeds": ["127.0.0.1:$((FLEET_BASE_PORT + 201))"],
  "config_within_ms": 2000, "evacuate_within_ms": 5000, "cold_overrun": 1.5,
  "cold_slack": 5, "stop_grace_s": 8
}
SETTINGS
  "$BUILD/galenashored/galenashored" --on-platform \
    --settings "$FLEET_DIR/$1.json" >>"$FLEET_DIR/$1.log" 2>&1 &
  FLEET_HOST_PID[$1]=$!
  FLEET_PIDS+=($!)
}

endpoint_object () {
  cat <<ENTRY
{"metadata": {"name": "$1"}, "spec": {"backend": "app", "address": "127.0.0.1:$((FLEET_BASE_PORT + $2))",
 "zone": "$3", "version": "v1", "max_concurrency": 8, "state": "ready", "born": 1}}
ENTRY
}

# send INDEX COUNT: prints the statuses
send () {
  local i
  for i in $(seq "$2"); do
    curl -s -m 10 -o /dev/null -w '%{http_code}\n' -H 'Host: h' \
      -H "Attempt-Id: r$RANDOM$i" -H 'Deadline-Ms: 2000' \
      "http://127.0.0.1:$((FLEET_BASE_PORT + 100 + $1))/note/x"
  done | sort | uniq -c
}

# wait_for NAME SECONDS CONDITION
wait_for () {
  local i
  for i in $(seq $(($2 * 20))); do
    eval "$3" && { pass "$1"; return; }
    sleep 0.05
  done
  fail "$1: timed out waiting for $3"
}
metric () { curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + 300 + $1))/metrics" | awk -v m="galenashore_$2" '$1 == m { print $2 }'; }
is_ready () { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((FLEET_BASE_PORT + 400 + $1))/readyz")" = 200 ]; }

fleet_standin objects "$FLEET_BASE_PORT"
fleet_wait_http "http://$STORE/stats"
for i in 3 4; do fleet_standin endpoint $((FLEET_BASE_PORT + i)) --work-ms 1; done
create config '{"metadata": {"name": "main"}, "spec": {"version": 1,
 "routes": [{"name": "notes", "hostname": "h", "path_prefix": "/note/", "type": "idempotent",
             "timeout_ms": 2000, "backend": "app", "anonymous": true}],
 "services": [{"name": "app", "cold_start_s": 3.0, "cold_per_s": 20.0}]}}'
create servers "$(endpoint_object s1 3 dc-a)"
create servers "$(endpoint_object s2 4 dc-b)"
host a1 dc-a 1
host b1 dc-b 2
wait_for "both hosts are ready" 20 'is_ready 1 && is_ready 2'
expect "requests are answered" '20 200' "$(send 2 20)"

evacuate set dc-b
evacuate set dc-b
pass "a repeated evacuation is no error"
expect "the evacuation is listed" 'dc-b' "$(evacuate list)"
wait_for "it is in force on all hosts within the limit" 5 \
  '[ "$(metric 1 evacuations_in_force)" = 1 ] && [ "$(metric 2 evacuations_in_force)" = 1 ]'
before=$(count 4)
expect "requests go elsewhere" '20 200' "$(send 1 20)"
expect "requests of hosts there go elsewhere" '20 200' "$(send 2 20)"
[ "$(count 4)" = "$before" ] || fail "an evacuated endpoint got requests"
pass "evacuated endpoints get none"

# A host starts that the store turns away: it has to hear from the other one.
kill -KILL "${FLEET_HOST_PID[b1]}"
wait "${FLEET_HOST_PID[b1]}" 2>/dev/null || true
curl -s -o /dev/null -X POST -d '["b1"]' "http://$STORE/turned-away"
host b1 dc-b 2
wait_for "the host is ready without the store" 20 'is_ready 2'
expect "it serves" '20 200' "$(send 2 20)"
[ "$(count 4)" = "$before" ] || fail "a restarted host sent requests to an evacuated endpoint"
pass "a restart without the store does not lift the evacuation"
curl -s -o /dev/null -X POST -d '[]' "http://$STORE/turned-away"

evacuate set dc-a
wait_for "both data centres are evacuated" 5 \
  '[ "$(metric 1 evacuations_in_force)" = 2 ] && [ "$(metric 2 evacuations_in_force)" = 2 ]'
expect "requests are refused" '20 503' "$(send 1 20)"
evacuate end dc-a
evacuate end dc-b
wait_for "no evacuation is in force" 5 \
  '[ "$(metric 1 evacuations_in_force)" = 0 ] && [ "$(metric 2 evacuations_in_force)" = 0 ]'
sleep 5
expect "requests are answered again" '20 200' "$(send 2 20)"
[ "$(count 4)" -gt "$before" ] || fail "the data centre got no requests back"
pass "the data centre has its requests back"
if evacuate end dc-b 2>/dev/null; then fail "the end of no evacuation succeeded"; fi
pass "the end of no evacuation is an error"
finish
