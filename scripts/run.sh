#!/usr/bin/env bash
# Starts the stand-ins and six entry VMs, applies the sample sheet, makes one
# completion and one reservation, then runs until interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/run}
. scripts/fleet.sh
VMS=${VMS:-6}
rm -rf "$OUT" && mkdir -p "$OUT"
trap 'echo "stopping gracefully (callers may keep addresses for ${LIFETIME:-5s})"; stop_all; exit 0' INT TERM
start_standins "${TOPOLOGY:-examples/small.json}"
for n in $(seq 0 $((VMS - 1))); do start_control "$n"; start_entry "$n" --address-lifetime "${LIFETIME:-5s}"; done
for n in $(seq 0 $((VMS - 1))); do wait_ready "$(vm_ip "$n"):8083"; wait_ready "$(vm_ip "$n"):8080"; done
echo "== $VMS entry VMs are up; the morning sheet:"
"$BIN/catkinctl" sheet apply --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" --wait 10s examples/sheet.csv
"$BIN/catkinctl" config status --addr "$(vm_ip 1):8083" --key "$OPERATOR_KEY"
echo "== addresses for team klubbservice:"
http GET "$(vm_ip 0):8080" "/v1/addresses?team=klubbservice"; echo
echo "== a streamed completion through three stages:"
http POST "$(vm_ip 1):8080" /v1/completions \
  '{"model":"skrivar","prompt":"Dear treasurer, about the gloves","max_tokens":8,"stream":true}' 'Catkin-Team: klubbservice' | grep -E '^(data|event):'
echo "== a reservation:"
http POST "$(vm_ip 2):8080" /services/ordrebok/reservations '{"pallets":2}' \
  'Catkin-Team: klubbservice' 'Idempotency-Key: pallet-4711'; echo
if [ -n "${ONCE:-}" ]; then stop_all; exit 0; fi
echo "== running; interrupt to stop. Logs are under $OUT/."
while :; do sleep 1; done
