#!/usr/bin/env bash
# TLS on the caller and operator interfaces, and the permissions of key files.
BUILD=$1
FLEET_BASE_PORT=19000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
fleet_platform
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=127.0.0.1 \
  -addext "subjectAltName=IP:127.0.0.1" -keyout "$FLEET_DIR/tls.key" \
  -out "$FLEET_DIR/tls.crt" 2>/dev/null
chmod 600 "$FLEET_DIR/tls.key"
echo "operator secret" >"$FLEET_DIR/operator.key"
chmod 600 "$FLEET_DIR/operator.key"
fleet_ctl template set agents >/dev/null
fleet_ctl customer set hanmae template=agents >/dev/null
HANMAE=$(fleet_key hanmae)
tls="\"caller_cert_file\": \"$FLEET_DIR/tls.crt\", \"caller_key_file\": \"$FLEET_DIR/tls.key\",
  \"operator_cert_file\": \"$FLEET_DIR/tls.crt\", \"operator_private_key_file\": \"$FLEET_DIR/tls.key\",
  \"operator_key_file\": \"$FLEET_DIR/operator.key\","
fleet_settings h1 dc-a 1 yes "$tls"
fleet_host h1
status="https://127.0.0.1:$((FLEET_BASE_PORT + 301))/status"
for _ in $(seq 200); do
  curl -s -o /dev/null --cacert "$FLEET_DIR/tls.crt" "$status" && break
  sleep 0.05
done
ctl=(--operator-ca "$FLEET_DIR/tls.crt" --operator-key-file "$FLEET_DIR/operator.key")
fleet_ctl "${ctl[@]}" wait >/dev/null
expect "an operator key is required" '"kind":"unauthorized"' \
  "$(curl -s --cacert "$FLEET_DIR/tls.crt" "$status")"
expect "an operator is served over TLS" '"serving": true' \
  "$(fleet_ctl "${ctl[@]}" -o "127.0.0.1:$((FLEET_BASE_PORT + 301))" status)"
programs="https://127.0.0.1:$((FLEET_BASE_PORT + 101))/v1/programs"
answer=""
for _ in $(seq 200); do
  answer=$(curl -s --cacert "$FLEET_DIR/tls.crt" -X POST -H "Authorization: Bearer $HANMAE" "$programs")
  grep -q cursor <<<"$answer" && break
  sleep 0.05
done
expect "a caller is served over TLS" '"cursor":"' "$answer"
curl -s -o /dev/null -X POST "http${programs#https}" && fail "plain HTTP was served"
pass "plain HTTP is not served"

chmod 644 "$FLEET_DIR/tls.key"
fleet_settings h2 dc-a 2 no "${tls/operator.key/operator.key}"
set +e
message=$("$BUILD/galenashored/galenashored" --settings "$FLEET_DIR/h2.json" 2>&1)
code=$?
set -e
[ $code = 2 ] || fail "exit status $code"
expect "a private key readable by others is refused" 'chmod 600' "$message"
finish
