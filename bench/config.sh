#!/usr/bin/env bash
# Measures how long an accepted configuration change takes to be in force on
# every host, and its cost in platform calls and frames, with 9 hosts and with 40.
BUILD=$1
FLEET_BASE_PORT=23000
CHANGES=${CHANGES:-30}
# shellcheck source=bench/lib.sh
. "$(dirname "$0")/lib.sh"

now_us () { date +%s%6N; }

measure () { # HOSTS BOUND
  local count=$1 bound=$2 i before after version started times=()
  for i in $(seq "$count"); do
    [ -n "${FLEET_HOST_PID[h$i]:-}" ] && continue
    fleet_settings "h$i" "dc-$((i % 3))" "$i" no '"log_level": "warn",'
    fleet_host "h$i"
  done
  for i in $(seq "$count"); do fleet_wait_http "$(operator "$i")/status"; done
  fleet_ctl wait --timeout-s 60 >/dev/null
  fleet_wait_slots 3
  sleep 3
  local calls_before frames_before bytes_before
  calls_before=$(curl -s "$GALENA_PLATFORM/stats" | jq '.reads + .writes + .watches')
  frames_before=$(sum_counter peer_frames_sent "$count")
  bytes_before=$(sum_counter peer_bytes_sent "$count")
  started=$(now_us)
  sleep 5
  after=$(now_us)
  figure "platform_calls_idle_at_${count}_hosts" \
    "$(calc "($(curl -s "$GALENA_PLATFORM/stats" | jq '.reads + .writes + .watches') - $calls_before) * 1000000 / ($after - $started)")" 1/s -
  figure "peer_bytes_idle_per_host_at_${count}_hosts" \
    "$(calc "($(sum_counter peer_bytes_sent "$count") - $bytes_before) * 1000000 / ($after - $started) / $count")" B/s 5000
  calls_before=$(curl -s "$GALENA_PLATFORM/stats" | jq '.reads + .writes + .watches')
  frames_before=$(sum_counter peer_frames_sent "$count")
  for i in $(seq "$CHANGES"); do
    started=$(now_us)
    version=$(fleet_ctl customer set hanmae template=wide burst=$((100 + i)) \
      | sed 's/.*version //')
    wait_applied "$version" "$count"
    times+=($(($(now_us) - started)))
  done
  local sorted
  mapfile -t sorted < <(printf '%s\n' "${times[@]}" | sort -n)
  figure "time_in_force_p50_at_${count}_hosts" "$(calc "${sorted[$((CHANGES / 2))]} / 1000")" ms "$bound"
  figure "time_in_force_max_at_${count}_hosts" "$(calc "${sorted[$((CHANGES - 1))]} / 1000")" ms "$bound"
  figure "platform_calls_per_change_at_${count}_hosts" \
    "$(calc "($(curl -s "$GALENA_PLATFORM/stats" | jq '.reads + .writes + .watches') - $calls_before) / $CHANGES")" calls -
  figure "peer_frames_per_change_at_${count}_hosts" \
    "$(calc "($(sum_counter peer_frames_sent "$count") - $frames_before) / $CHANGES")" frames -
  figure "rss_per_host_at_${count}_hosts" "$(rss_kb "${FLEET_HOST_PID[h1]}")" KB 262144
}

sum_counter () { # COUNTER HOSTS
  local i sum=0
  for i in $(seq "$2"); do
    sum=$((sum + $(curl -s "$(operator "$i")/counters" | jq ".$1")))
  done
  echo "$sum"
}

wait_applied () { # VERSION HOSTS
  local i applied
  for i in $(seq "$2"); do
    while :; do
      applied=$(curl -s "$(operator "$i")/status" | jq .applied_revision)
      [ "$applied" -ge "$1" ] && break
      sleep 0.005
    done
  done
}

fleet_platform
fleet_ctl template set wide rate_per_minute=6000 burst=100 >/dev/null
fleet_ctl customer set hanmae template=wide >/dev/null
measure 9 2000
measure 40 17000
