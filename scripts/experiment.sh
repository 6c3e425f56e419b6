#!/usr/bin/env bash
# Runs one failure against a fleet of real processes under checked load, and
# writes a JSON report: scripts/experiment.sh NAME [VMS].
#
# NAME is one of calm, kill-entry, kill-vm, kill-control, freeze-control,
# kill-stage, silent, kv-down, kv-lost, cut-domain, drain, stale, operators.
set -euo pipefail
cd "$(dirname "$0")/.."
NAME=$1
VMS=${2:-6}
OUT=${OUT:-out/$NAME}
. scripts/fleet.sh
rm -rf "$OUT" && mkdir -p "$OUT"
AT=${AT:-10}
DURATION=${DURATION:-25s}
LIFETIME=${LIFETIME:-5s}
trap 'stop_all' EXIT
EXTRA=()

start_standins "${TOPOLOGY:-examples/small.json}"
for n in $(seq 0 $((VMS - 1))); do
  flags=()
  [ -z "${TRACE:-}" ] || flags=(--trace "$OUT/$(vm_name "$n").entry.trace")
  start_control "$n"
  start_entry "$n" --address-lifetime "$LIFETIME" "${flags[@]}"
done
for n in $(seq 0 $((VMS - 1))); do wait_ready "$(vm_ip "$n"):8083"; wait_ready "$(vm_ip "$n"):8080"; done
"$BIN/catkinctl" --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" sheet apply "${SHEET:-examples/sheet.csv}" >"$OUT/sheet.txt"
sleep 3

kill_now() { kill -KILL "${PID[$1]}"; unset "PID[$1]"; }

bring_about() { # runs AT seconds into the load
  sleep "$AT"
  case $NAME in
    kill-entry) kill_now entry1; sleep 3; start_entry 1 --address-lifetime "$LIFETIME" ;;
    kill-vm) kill_now entry1; kill_now control1; sleep 3; start_vm 1 --address-lifetime "$LIFETIME" 2>/dev/null || start_control 1 ;;
    kill-control) kill_now control1; sleep 3; start_control 1 ;;
    freeze-control) kill -STOP "${PID[control1]}"; sleep 5; kill -CONT "${PID[control1]}" ;;
    kill-stage) fault '{"target":"skrivar-01-s1","kind":"die"}' ;;
    silent) fault '{"target":"*","kind":"silent"}' ;;
    kv-down) fault '{"target":"kv","kind":"down"}'; sleep 8; fault '{"target":"kv","kind":"down","off":true}' ;;
    kv-lost) fault '{"target":"kv","kind":"lose_reply","share":0.5}'; sleep 8; fault '{"target":"kv","kind":"lose_reply","off":true}' ;;
    drain) "$BIN/catkinctl" --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" drain "$(vm_name 1)" >"$OUT/drain.txt" ;;
    leave) fault '{"target":"skrivar-02-s1","kind":"leave"}' ;;
    calm) ;;
    *) echo "no such experiment: $NAME" >&2 ;;
  esac
}
bring_about &
CHAOS=$!

entries=$(for n in $(seq 0 $((VMS - 1))); do printf '%s:8080,' "$(vm_ip "$n")"; done)
"$BIN/catkin-load" --name "$NAME" --entries "${entries%,}" --control "$FAULTS" --duration "$DURATION" \
  --completions "${COMPLETIONS:-25}" --reads "${READS:-60}" --reservations "${RESERVATIONS:-60}" \
  --own-key-share "${OWN_KEYS:-0.2}" --mark "${AT}s:$NAME" --out "$OUT/report.json" "${EXTRA[@]}" 2>"$OUT/load.log" || true
wait $CHAOS 2>/dev/null || true
