#!/usr/bin/env bash
# The users' platform: entry hosts and keepers against a stand-in of its store
# and of its endpoints.
BUILD=$1
FLEET_BASE_PORT=15000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"

STORE=127.0.0.1:$FLEET_BASE_PORT
entry () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 100 + $1))"; }
health () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 400 + $1))/readyz"; }
endpoint () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + $1))"; }
put () { curl -s -X PUT -H 'Content-Type: application/json' -d "$2" "http://$STORE/objects/$1"; }
create () { curl -s -o /dev/null -X POST -H 'Content-Type: application/json' -d "$2" "http://$STORE/objects/$1"; }
counts () { curl -s "$(endpoint "$1")/counts"; }

# host NAME DC INDEX ROLE FIRST_START
host () {
  cat >"$FLEET_DIR/$1.json" <<SETTINGS
{
  "host": "$1", "data_centre": "$2", "role": "$4",
  "caller_listen": "127.0.0.1:$((FLEET_BASE_PORT + 100 + $3))",
  "peer_listen": "127.0.0.1:$((FLEET_BASE_PORT + 200 + $3))",
  "metrics_listen": "127.0.0.1:$((FLEET_BASE_PORT + 300 + $3))",
  "health_listen": "127.0.0.1:$((FLEET_BASE_PORT + 400 + $3))",
  "store_address": "$STORE", "seeds": ["127.0.0.1:$((FLEET_BASE_PORT + 201))"], "data_dir": "$FLEET_DIR/data-$1",
  "watch_ms": 1000, "absent_ms": 2500, "stop_grace_s": 8, "first_start": $5
}
SETTINGS
  "$BUILD/galenashored/galenashored" --on-platform \
    --settings "$FLEET_DIR/$1.json" >>"$FLEET_DIR/$1.log" 2>&1 &
  FLEET_HOST_PID[$1]=$!
  FLEET_PIDS+=($!)
}

config () {
  cat <<CONFIG
{"metadata": {"name": "main"}, "spec": {"version": $1,
 "routes": [
  {"name": "turns", "hostname": "h", "path_prefix": "/turn/", "type": "streaming",
   "timeout_ms": 5000, "slo_ms": 200, "priority": 1, "backend": "models",
   "max_attempts": 1, "resumable": true, "retention_s": 60},
  {"name": "notes", "hostname": "h", "path_prefix": "/note/", "type": "idempotent",
   "timeout_ms": 2000, "backend": "app"},
  {"name": "charges", "hostname": "h", "path_prefix": "/charge/",
   "type": "non_idempotent", "timeout_ms": 2000, "backend": "app", "max_attempts": 1}
  $2],
 "services": [{"name": "models", "engine": {"chunk_tokens": 3}}, {"name": "app"}],
 "limits": {"max_body_bytes": 4096},
 "tenants": [
  {"name": "hanmae", "api_keys": ["key-1", "key-2"], "rate_per_s": 500, "burst": 500},
  {"name": "small", "api_keys": ["key-s"], "rate_per_s": 2, "burst": 4}
  ${3:-}]}}
CONFIG
}

listing () {
  cat <<ENTRY
{"metadata": {"name": "$1"}, "spec": {"backend": "$2", "address": "127.0.0.1:$((FLEET_BASE_PORT + $3))",
 "zone": "$4", "version": "v1", "max_concurrency": 8, "state": "${5:-ready}", "born": 1, "seq": 1}}
ENTRY
}

# ask INDEX PATH KEY [CURL OPTION...]: prints the body, then the status
ask () {
  local index=$1 path=$2 key=$3
  shift 3
  local id=r$BASHPID-$RANDOM
  echo "$id" >"$FLEET_DIR/id"
  curl -s -m 10 -w '\n%{http_code}' -H 'Host: h' -H "Attempt-Id: $id" \
    -H "Credential: $key" -H 'Deadline-Ms: 4000' "$@" "$(entry "$index")$path"
}

# turn INDEX PROGRAM BUDGET MOST [CURL OPTION...]
# A refusal for want of keepers is asked again, as its callers are told: a sync
# of a busy disk can take longer than a host waits for it.
turn () {
  local index=$1 program=$2 budget=$3 most=$4 answer try
  shift 4
  for try in $(seq "${TURN_TRIES:-8}"); do
    answer=$(ask "$index" /turn/x key-1 -X POST -d prompt \
      -H "Program-Id: $program" -H "Session-Id: s" \
      -H "Token-Budget: $budget" -H "Token-Usage: 20,$most" \
      -H 'Prompt-Prefix: a1:10,b2:10' "$@") || true
    grep -q 'too few keepers' <<<"$answer" || break
    [ "$try" = "${TURN_TRIES:-8}" ] || sleep 0.5
  done
  echo "$answer"
}

# Ends hosts at once and waits until their ports are free again.
slay () {
  local name
  for name in "$@"; do
    kill -KILL "${FLEET_HOST_PID[$name]}"
    wait "${FLEET_HOST_PID[$name]}" 2>/dev/null || true
  done
}

wait_for () {
  local i
  for i in $(seq 300); do
    eval "$2" && { pass "$1"; return; }
    sleep 0.05
  done
  fail "$1: waited in vain for $2"
}
is_ready () { [ "$(curl -s -o /dev/null -w '%{http_code}' "$(health "$1")")" = 200 ]; }

fleet_standin objects "$FLEET_BASE_PORT"
fleet_wait_http "http://$STORE/stats"
for i in 1 2; do fleet_standin endpoint $((FLEET_BASE_PORT + i)) --work-ms 20; done
for i in 3 4; do fleet_standin endpoint $((FLEET_BASE_PORT + i)) --work-ms 1; done

host a1 dc-a 1 entry true
host b1 dc-b 2 entry true
host ka dc-a 11 keeper true
host kb dc-b 12 keeper true
host kc dc-c 13 keeper true
for i in 1 2; do fleet_wait_http "$(health $i)"; done
expect "without a configuration a host is not ready" 503 \
  "$(curl -s -o /dev/null -w '%{http_code}' "$(health 1)")"
expect "and refuses with a time to come back" 503 "$(ask 1 /note/x key-1)"
create config "$(config 3 "")"
create servers "$(listing m1 models 1 dc-a)"
create servers "$(listing m2 models 2 dc-b)"
create servers "$(listing s1 app 3 dc-a)"
create servers "$(listing s2 app 4 dc-b)"
create servers '{"metadata": {"name": "forged"}, "spec": {"backend": 7, "address": "nowhere"}}'
wait_for "the first host gets ready" 'is_ready 1'
wait_for "the second host gets ready" 'is_ready 2'
wait_for "all hosts know each other" \
  'grep -q "2 entry hosts and 3 other keepers" "$FLEET_DIR/a1.log"'
wait_for "also the second" \
  'grep -q "2 entry hosts and 3 other keepers" "$FLEET_DIR/b1.log"'

# Routes, keys, what endpoints see.
expect "a plain request is answered" '^200$' "$(ask 1 '/note/x?a=%2F' key-1)"
expect "with its target unchanged" '/note/x\?a=%2F' "$(ask 1 '/note/x?a=%2F' key-2)"
seen=$(counts 3; counts 4)
expect "the endpoint sees the customer" '"Tenant": ?"hanmae"' "$seen"
grep -q key-1 <<<"$seen" && fail "an endpoint saw a key"
pass "no endpoint sees a key"
expect "an unknown key is refused" '^401$' "$(ask 1 /note/x key-9)"
expect "an unknown route is refused" '^404$' "$(ask 1 /none/x key-1)"
expect "a failure of the endpoint is passed on" '^500$' "$(ask 1 /charge/fail key-1 -X POST -d a)"
expect "endpoints that are full are said not to have run it" '^503$' "$(ask 1 /note/shed key-1)"

# Streams.
answer=$(turn 1 p1 1000 50)
expect "a stream is whole" 'token-6' "$answer"
[ "$(grep -c '^id: ' <<<"$answer")" = 6 ] || fail "pieces: $answer"
pass "each piece comes once"
for i in 1 2; do curl -s -o /dev/null -d '{"half_next": 1}' "$(endpoint $i)/faults"; done
answer=$(turn 1 p2 1000 50)
[ "$(grep -c '^id: ' <<<"$answer")" = 6 ] || fail "pieces after a break: $answer"
[ "$(grep '^id: ' <<<"$answer" | sort -u | wc -l)" = 6 ] || fail "twice: $answer"
expect "a broken stream goes on in the same answer" '^200$' "$answer"
for i in 1 2; do curl -s -o /dev/null -d '{"half_next": 0}' "$(endpoint $i)/faults"; done

# What may not run twice does not, whatever happens to the answer.
for i in 3 4; do curl -s -o /dev/null -d '{"lose_answers": 1}' "$(endpoint $i)/faults"; done
expect "a lost answer of a charge may have run" '^502$' "$(ask 1 /charge/x key-1 -X POST -d a)"
runs=$( (counts 3; counts 4) | jq -s "[.[].counts[\"$(cat "$FLEET_DIR/id")\"] // 0] | add")
[ "$runs" = 1 ] || fail "the charge ran $runs times"
pass "the charge ran once"
for i in 3 4; do curl -s -o /dev/null -d '{"lose_answers": 1}' "$(endpoint $i)/faults"; done
ask 1 /note/x key-1 >/dev/null
for i in 3 4; do curl -s -o /dev/null -d '{"lose_answers": 0, "crossed_next": 1}' "$(endpoint $i)/faults"; done
expect "another request's answer is not passed on" '^502$' "$(ask 1 /charge/x key-1 -X POST -d a)"
for i in 3 4; do curl -s -o /dev/null -d '{"crossed_next": 0}' "$(endpoint $i)/faults"; done

# Budgets hold over hosts and over the restart of all of them.
expect "a turn within the budget" '^200$' "$(turn 1 p3 60 40)"
sleep 0.3 # settlements of a turn share a frame with others
expect "another through another host" '^200$' "$(turn 2 p3 60 40)"
sleep 0.3
expect "the next would not fit" '^402$' "$(turn 1 p3 60 40)"
slay a1 b1 ka kb kc
host a1 dc-a 1 entry false
host b1 dc-b 2 entry false
host ka dc-a 11 keeper false
host kb dc-b 12 keeper false
host kc dc-c 13 keeper false
wait_for "the first host is back" 'is_ready 1'
wait_for "the second host is back" 'is_ready 2'
wait_for "the budget is still spent after a restart of all" \
  '[ "$(turn 2 p3 60 40 | tail -1)" = 402 ]'

# A keeper loses its disk, then another one dies: the ledger is still known.
slay ka
rm -rf "$FLEET_DIR/data-ka"
host ka dc-a 11 keeper false
wait_for "the lost ledger is read from the others" \
  'grep -q "the ledger is complete again" "$FLEET_DIR/ka.log"'
slay kb
wait_for "two keepers of three are enough" '[ "$(turn 1 p4 1000 40 | tail -1)" = 200 ]'
expect "and they know what was spent" '^(402|503)$' "$(TURN_TRIES=1 turn 1 p3 60 40 | tail -1)"
host kb dc-b 12 keeper false

# The smaller side of a cut goes on charging; the larger learns of it before it
# charges the rest.
wait_for "three keepers answer again" '[ "$(turn 1 p6 1000 40 | tail -1)" = 200 ]'
slay ka kc
sleep 0.5
granted=0
for _ in 1 2 3 4 5 6; do
  [ "$(TURN_TRIES=1 turn 1 p7 90 40 | tail -1)" = 200 ] && granted=$((granted + 1))
  sleep 0.3
done
[ "$granted" -ge 2 ] && [ "$granted" -le 3 ] || fail "one keeper of three granted $granted turns"
pass "one keeper of three grants a part of the budget"
host ka dc-a 11 keeper false
host kc dc-c 13 keeper false
sleep 3
slay kb
sleep 0.5
for _ in 1 2 3; do
  [ "$(TURN_TRIES=1 turn 2 p7 90 40 | tail -1)" = 200 ] && fail "the others did not know what was charged"
done
pass "the others know what was charged meanwhile"
host kb dc-b 12 keeper false
wait_for "all keepers are there" '[ "$(turn 2 p8 1000 40 | tail -1)" = 200 ]'

# A keeper is gone for good: it is taken out, and what it knew is not lost.
sleep 1
slay kc
wait_for "a keeper that is gone is taken out of the list" \
  '! curl -s "http://$STORE/objects/galenashore-hosts" | grep -q "\"kc\""'
wait_for "the others go on without it" '[ "$(turn 1 p5 1000 40 | tail -1)" = 200 ]'
expect "with the same ledger" '^402$' "$(turn 2 p3 60 40 | tail -1)"
host kc dc-c 13 keeper false
wait_for "one that comes back is listed again" \
  'curl -s "http://$STORE/objects/galenashore-hosts" | grep -q "\"kc\""'
wait_for "all keepers are known" \
  '[ "$(tail -n 3 "$FLEET_DIR/ka.log" | grep -c "2 other keepers")" -gt 0 ]'

# A keeper is emptied.
create retirements '{"metadata": {"name": "kc"}, "spec": {"duration_s": 10}}'
wait_for "an emptied keeper says so" \
  'curl -s "http://$STORE/objects/retirements/kc" | grep -q complete'
slay kc
wait_for "the others have its ledger" '[ "$(turn 2 p3 60 40 | tail -1)" = 402 ]'

# Configuration and endpoints change.
create_before=$(ask 1 /new/x key-1 | tail -1)
expect "a route that is not there yet" 404 "$create_before"
put config/main "$(config 5 ', {"name": "new", "hostname": "h", "path_prefix": "/new/", "type": "idempotent", "timeout_ms": 2000, "backend": "app"}')" >/dev/null
wait_for "a new route is served" '[ "$(ask 1 /new/x key-1 | tail -1)" = 200 ]'
curl -s -o /dev/null "http://$STORE/compact"
put config/main "$(config 8 "")" >/dev/null
wait_for "a route is dropped, with the history gone" '[ "$(ask 2 /new/x key-1 | tail -1)" = 404 ]'
put config/main "$(config 7 ', {"name": "new", "hostname": "h", "path_prefix": "/new/", "type": "idempotent", "timeout_ms": 2000, "backend": "app"}')" >/dev/null
sleep 0.3
expect "an older version does not come back" '^404$' "$(ask 1 /new/x key-1)"
put servers/m1 "$(listing m1 models 1 dc-a draining)" >/dev/null
wait_for "an endpoint that leaves is known" 'grep -q "endpoint m1 .* is leaving" "$FLEET_DIR/a1.log"'
before=$(counts 1 | jq '.counts | length')
for i in 1 2 3 4 5; do turn 1 "q$i" 1000 40 >/dev/null; done
[ "$(counts 1 | jq '.counts | length')" = "$before" ] || fail "a leaving endpoint got work"
pass "a leaving endpoint gets no work"

# A request that crashes each endpoint that runs it.
restart_endpoints () {
  for i in 3 4; do
    curl -s -o /dev/null "$(endpoint $i)/counts" \
      || fleet_standin endpoint $((FLEET_BASE_PORT + i)) --work-ms 1
    fleet_wait_http "$(endpoint $i)/counts"
  done
}
for _ in 1 2 3 4; do
  ask 1 /note/crash key-1 >/dev/null
  ask 1 /note/y key-1 >/dev/null # finds the endpoint down
  restart_endpoints
done
expect "a request that crashed endpoints is refused" '^503$' "$(ask 1 /note/crash key-1)"
expect "also at another host" '^503$' "$(ask 2 /note/crash key-1)"
for i in 3 4; do fleet_wait_http "$(endpoint $i)/counts"; done
wait_for "others are served again" '[ "$(ask 2 /note/x key-1 | tail -1)" = 200 ]'

# Callers that leave, and rates.
# On a busy machine a request may not have reached its endpoint by then.
wait_for "a caller that leaves ends its run" \
  'turn 1 "p9-$RANDOM" 1000 40 --max-time 0.1 >/dev/null; [ "$(counts 2 | jq .cancelled)" -ge 1 ]'
over=0
for i in $(seq 30); do
  [ "$(ask $((1 + i % 2)) /note/x key-s | tail -1)" = 429 ] && over=$((over + 1))
done
[ "$over" -ge 12 ] || fail "only $over of 30 were over the rate of 2 and burst of 4"
pass "a customer over its rate is refused at all hosts together"
expect "another is not" '^200$' "$(ask 1 /note/x key-1)"

# The store is away.
curl -s -o /dev/null -d '{"outage_ms": 1500}' "http://$STORE/faults"
sleep 0.5
expect "the store is away, requests are served" '^200$' "$(ask 1 /note/x key-1)"
expect "and turns" '^200$' "$(turn 2 p10 1000 40)"
wait_for "its return is seen" 'grep -q "answers again" "$FLEET_DIR/a1.log"'

wait_for "the store is back" 'curl -s "http://$STORE/stats" | grep -q reads'

# The store turns one host away, which learns from another; so does a host that
# starts meanwhile.
curl -s -o /dev/null -d '["b1"]' "http://$STORE/turned-away"
put config/main "$(config 9 ', {"name": "new", "hostname": "h", "path_prefix": "/new/", "type": "idempotent", "timeout_ms": 2000, "backend": "app"}')" >/dev/null
wait_for "a host that the store turns away learns a new route" '[ "$(ask 2 /new/x key-1 | tail -1)" = 200 ]'
slay b1
host b1 dc-b 2 entry false
wait_for "one that starts meanwhile gets ready" 'is_ready 2'
expect "with that route" '^200$' "$(ask 2 /new/x key-1)"
expect "and with turns" '^200$' "$(turn 2 p12 1000 40)"
curl -s -o /dev/null -d '[]' "http://$STORE/turned-away"

# A planned stop cuts nothing.
turn 1 p11 1000 40 >"$FLEET_DIR/last" &
last=$!
sleep 0.05
kill -TERM "${FLEET_HOST_PID[a1]}"
wait "$last"
expect "a stop lets the stream end" 'token-6' "$(cat "$FLEET_DIR/last")"
wait_for "a stopping host is not ready" '! is_ready 1'
wait "${FLEET_HOST_PID[a1]}" || fail "the stopped host ended with $?"
pass "a stop ends with 0"

# Settings.
echo '{"host": "x", "data_centre": "d", "role": "both", "peer_listen": "1", "store_address": "2"}' \
  >"$FLEET_DIR/bad.json"
set +e
message=$("$BUILD/galenashored/galenashored" --on-platform --settings "$FLEET_DIR/bad.json" 2>&1)
status=$?
set -e
[ "$status" = 2 ] || fail "bad settings ended with $status"
expect "bad settings name the field and the remedy" 'role.*entry or keeper' "$message"
expect "metrics are served" 'galenashore_requests [1-9]' \
  "$(curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + 302))/metrics")"
expect "and the state" '"endpoints"' \
  "$(curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + 302))/state")"
finish
