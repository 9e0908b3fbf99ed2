#!/usr/bin/env bash
# A leaving endpoint gets no new work; a dead one is gone round.
BUILD=$1
FLEET_BASE_PORT=16000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
served () { curl -s "$(engine_url "$1")/v1/load" | jq .served; }
call='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'

# some_calls: 20 programs with a call each, over all hosts
some_calls () {
  local i answer
  for i in $(seq 20); do
    open_program "$HANMAE" $((i % 5 + 1))
    answer=$(curl -s -X POST -H "Authorization: Bearer $HANMAE" -H "X-Galena-Cursor: $CURSOR" \
      -d "$call" "$(caller $((i % 5 + 1)))/v1/programs/$PROGRAM/calls")
    grep -q 'event: done' <<<"$answer" || fail "no answer: $answer"
  done
}

some_calls
[ "$(served 1)" -gt 0 ] && [ "$(served 2)" -gt 0 ] || fail "an engine got nothing"
pass "both engines are used"
fleet_ctl drain endpoint e1 >/dev/null
fleet_ctl wait >/dev/null
before=$(served 1)
some_calls
[ "$(served 1)" = "$before" ] || fail "the leaving engine got work"
pass "the leaving engine gets no new work"
fleet_ctl endpoint set e1 leaving=false >/dev/null
fleet_ctl wait >/dev/null
curl -s -o /dev/null -d '{"outage_ms": 600000}' "$(engine_url 2)/faults"
some_calls
pass "no call is lost while an engine is out"
finish
