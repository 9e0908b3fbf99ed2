# Shared helpers of the benchmarks.  Source this file with BUILD set.
# shellcheck shell=bash
set -euo pipefail
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
# shellcheck source=scripts/fleet.sh
. "$ROOT/scripts/fleet.sh"

# figure NAME VALUE UNIT BOUND|- [le|ge]: prints a result as a JSON line, with
# BOUND as an upper (le, the default) or lower (ge) bound
figure () {
  awk -v name="$1" -v value="$2" -v unit="$3" -v bound="$4" -v sense="${5:-le}" 'BEGIN {
    printf "{\"figure\": \"%s\", \"value\": %.6g, \"unit\": \"%s\"", name, value, unit
    if (bound == "-") { printf ", \"bound\": null, \"met\": null}\n"; exit }
    met = sense == "le" ? value <= bound : value >= bound
    printf ", \"bound\": %.6g, \"met\": %s}\n", bound, met ? "true" : "false"
  }'
}

# cpu_ticks PID: prints the user and system time used, in clock ticks of 10 ms
cpu_ticks () { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

# rss_kb PID: prints the resident set size in KB
rss_kb () { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }

calc () { awk "BEGIN { print $* }"; }

caller () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 100 + $1))"; }
operator () { echo "http://127.0.0.1:$((FLEET_BASE_PORT + 300 + $1))"; }

# wide_customer NAME: creates a customer whose limits no benchmark reaches
wide_customer () {
  fleet_ctl template set wide rate_per_minute=10000000 burst=1000000 \
    budget_tokens=1000000000000 budget_calls=1000000000000 >/dev/null
  fleet_ctl customer set "$1" template=wide >/dev/null
}

engine () { # NAME PORT SLOTS
  fleet_ctl endpoint set "$1" kind=engine "url=http://127.0.0.1:$2" slots="$3" >/dev/null
}

# Starts a1 a2 b1 b2 c1 in three data centres, three with a data folder, and sets
# HOSTS to the load generator's options for them.
five_hosts () {
  local index=0 host data
  HOSTS=()
  for host in a1 a2 b1 b2 c1; do
    index=$((index + 1))
    case $host in a1 | b1 | c1) data=yes ;; *) data=no ;; esac
    fleet_settings "$host" "dc-${host%?}" "$index" "$data" '"log_level": "warn",'
    fleet_host "$host"
    HOSTS+=(--host "$(caller "$index")")
  done
  for index in 1 2 3 4 5; do fleet_wait_http "$(operator "$index")/status"; done
  fleet_ctl wait >/dev/null
  fleet_wait_slots 3
}
