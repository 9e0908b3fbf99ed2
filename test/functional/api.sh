#!/usr/bin/env bash
# Runs the examples of docs/CALLER-API.md unchanged.
BUILD=$1
FLEET_BASE_PORT=21000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
export HOST KEY
HOST=$(caller 2)
KEY=$HANMAE

work=$(mktemp -d)
awk '/^```sh$/ { on = 1; next } /^```$/ { on = 0 } on' \
  "$ROOT/docs/CALLER-API.md" >"$work/examples.sh"
# Each command's output goes to a file; each "# expect:" line is matched against
# the output of the last command.
awk '
  /^# expect: / { sub (/^# expect: /, ""); gsub (/\047/, "\047\\\047\047");
                  print "expect \"line " NR "\" \047" $0 "\047 \"$(cat output)\"";
                  next }
  /^curl/ { print "{"; open = 1 }
  { print }
  open && !/\\$/ { print "} >output"; open = 0 }
  /^OPENED=/ { print "echo \"$OPENED\" >output" }
' "$work/examples.sh" >"$work/run.sh"
cd "$work"
# shellcheck disable=SC1091
. "$work/run.sh"
cd "$ROOT"
rm -rf "$work"
finish
