#!/usr/bin/env bash
# Records traces of the real processes while a failure is made, under a small
# checked load: scripts/trace.sh NAME. The traces are compressed under out/trace;
# those that CI replays stand in internal/replay/testdata.
set -euo pipefail
cd "$(dirname "$0")/.."
NAME=$1
OUT=${OUT:-out/trace}
. scripts/fleet.sh
mkdir -p "$OUT"
trap 'kill_all' EXIT
VMS=3
LIFETIME=3s

up() { # VM number
  start_control "$1" --trace "$OUT/$NAME.$1.control.jsonl"
  start_entry "$1" --address-lifetime $LIFETIME --trace "$OUT/$NAME.$1.entry.jsonl"
}

fail() {
  case $NAME in
    stage-dies) fault '{"target":"skrivar-01-s2","kind":"die_midstream","count":3}'
      fault '{"target":"skrivar-02-s1","kind":"die_midstream","count":5}' ;;
    engine-leaves) fault '{"target":"vms","kind":"lag","delay_ms":60000}'
      fault '{"target":"skrivar-01-s1","kind":"leave"}' ;;
    silent) fault '{"target":"*","kind":"silent"}' ;;
    app-lost-replies) fault '{"target":"ordrebok/*","kind":"lose_reply","share":0.2}' ;;
    apps-leave) fault '{"target":"ordrebok/*","kind":"leave"}' ;;
    kv-down) fault '{"target":"kv","kind":"down"}' ;;
    kv-lost-replies) fault '{"target":"kv","kind":"lose_reply","share":0.5}' ;;
    entry-killed) kill -KILL "${PID[entry1]}" ;;
    planned-stop) kill -TERM "${PID[entry0]}" ;;
    control-frozen) kill -STOP "${PID[control0]}"; sleep 4; kill -CONT "${PID[control0]}" ;;
    sheet-race) ctl 0 sheet apply examples/sheet-raise.csv & ctl 1 sheet apply examples/sheet-other.csv & wait $! ;;
    *) echo "no failure $NAME" >&2; exit 2 ;;
  esac
}

ctl() { # VM number, arguments
  local n=$1; shift
  "$BIN/catkinctl" --addr "$(vm_ip "$n"):8083" --key "$OPERATOR_KEY" "$@" || true
}

start_standins "${TOPOLOGY:-examples/small.json}"
for n in $(seq 0 $((VMS - 1))); do up "$n"; done
for n in $(seq 0 $((VMS - 1))); do wait_ready "$(vm_ip "$n"):8083"; wait_ready "$(vm_ip "$n"):8080"; done
ctl 0 sheet apply examples/sheet.csv
sleep 1
"$BIN/catkin-load" --name "$NAME" --entries "$(vm_ip 0):8080,$(vm_ip 1):8080,$(vm_ip 2):8080" --control "$FAULTS" \
  --duration "${DURATION:-6s}" --warmup 0s --completions "${COMPLETIONS:-4}" --reads 3 --reservations 6 \
  --own-key-share 0.3 --out "$OUT/$NAME.report.json" &
LOAD=$!
sleep 2
fail
wait $LOAD || true
[ "$NAME" != planned-stop ] || wait "${PID[entry0]}" || true
kill_all 2>/dev/null
gzip -9f "$OUT/$NAME".*.jsonl
ls -l "$OUT/$NAME".*
