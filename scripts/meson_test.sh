#!/usr/bin/env bash
# Runs "meson test" and passes over the tests that KNOWN-RED.txt lists as red
# (lines "red TEST ..."): they run, and each is printed with its result.  Fails
# on any other failure.
# Usage: meson_test.sh -C BUILD [ARGUMENT OF MESON TEST...]
set -uo pipefail
if [ "${1:-}" != -C ] || [ $# -lt 2 ]; then
  sed -n 2,5p "$0" >&2
  exit 2
fi
known=$(dirname "$0")/../KNOWN-RED.txt
log=$2/meson-logs/testlog.json
rm -f "$log"
meson test "$@"
status=$?

bad=0
unknown=0
while read -r name result; do
  is_red=no
  grep -q "^red $name " "$known" && is_red=yes
  case $result in
    OK | SKIP | EXPECTEDFAIL)
      [ $is_red = no ] || echo "listed as red: $name: $result"
      ;;
    *)
      bad=$((bad + 1))
      if [ $is_red = yes ]; then
        echo "listed as red: $name: $result, passed over"
      else
        echo "failed: $name: $result"
        unknown=$((unknown + 1))
      fi
      ;;
  esac
done < <(jq -r '"\(.name | sub(".* / "; "")) \(.result)"' "$log")

# Each failure that meson counts must be one of those read from its log.
if [ "$status" -ne "$bad" ]; then
  echo "meson test ended with $status, its log has $bad failures" >&2
  exit 1
fi
[ "$unknown" -eq 0 ]
