#!/usr/bin/env bash
# A program never exceeds its token budget, with concurrent branches and after its
# owner is killed; a caller that loops gets a typed error in the end.
BUILD=$1
FLEET_BASE_PORT=17000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
fleet_ctl customer set hanmae template=agents budget_tokens=160 >/dev/null
fleet_ctl wait >/dev/null
auth=(-H "Authorization: Bearer $HANMAE")
call='{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"x"}]}'

# spend HOST-INDEX CURSOR FILE: calls on a branch until its budget is exhausted, and
# writes the tokens received to FILE
spend () {
  local cursor=$2 answer next
  for _ in $(seq 60); do
    answer=$(curl -s -m 10 -X POST "${auth[@]}" -H "X-Galena-Cursor: $cursor" -d "$call" \
      "$(caller "$1")/v1/programs/$PROGRAM/calls" || true)
    grep -c '^id: ' <<<"$answer" >>"$3" || true
    grep -q budget_exhausted <<<"$answer" && { echo exhausted >>"$3.end"; return 0; }
    next=$(grep -o '"cursor":"[^"]*"' <<<"$answer" | tail -1 | cut -d'"' -f4 || true)
    if [ -n "$next" ]; then cursor=$next; else sleep 0.2; fi
  done
}
total () { cat "$@" | paste -sd+ | bc; }

open_program "$HANMAE" 1
main=$CURSOR
branches=()
for n in 1 2 3; do
  branches+=("$(curl -s -X POST "${auth[@]}" -H "X-Galena-Cursor: $main" -d "{\"branch\":$n}" \
    "$(caller 1)/v1/programs/$PROGRAM/branches" | jq -r .cursor)")
done
spend 1 "$main" "$FLEET_DIR/spent-0" &
workers=($!)
for n in 0 1 2; do
  spend $((n + 2)) "${branches[n]}" "$FLEET_DIR/spent-$((n + 1))" &
  workers+=($!)
done
wait "${workers[@]}"
sum=$(total "$FLEET_DIR"/spent-?)
[ "$sum" -le 160 ] || fail "$sum tokens of 160"
[ "$(cat "$FLEET_DIR"/spent-?.end | wc -l)" = 4 ] || fail "a branch did not exhaust its budget: $(ls "$FLEET_DIR")"
pass "four branches spent $sum of 160 tokens and got a typed error"

rm -f "$FLEET_DIR"/spent-*
open_program "$HANMAE" 1
spend 2 "$CURSOR" "$FLEET_DIR/spent-0" &
worker=$!
sleep 0.15
kill -KILL "${FLEET_HOST_PID[a1]}"
wait "$worker"
sum=$(total "$FLEET_DIR/spent-0")
[ "$sum" -le 160 ] || fail "$sum tokens of 160 after a takeover"
pass "with a takeover, the program spent $sum of 160 tokens"
finish
