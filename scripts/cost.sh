#!/usr/bin/env bash
# Measures what one catkin-entry process costs for each request and each token:
# one entry VM takes completions only, then calls only, at three rates each.
# Prints a JSON line for each point: processor seconds, tokens, requests, memory.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/cost}
. scripts/fleet.sh
rm -rf "$OUT" && mkdir -p "$OUT"
trap 'kill_all' EXIT
SPAN=${SPAN:-8}
ADDR=$(vm_ip 0):8080

metric() { http GET "$ADDR" /metrics | awk -v name="$1" '$1 == name {print $2}'; }

point() { # what, completions, reads, reservations
  local cpu0 cpu1 steps0 steps1
  cpu0=$(metric process_cpu_seconds_total); steps0=$(metric catkin_entry_steps_total)
  "$BIN/catkin-load" --name "$1" --entries "$ADDR" --control "$FAULTS" --duration "${SPAN}s" --warmup 0s \
    --completions "$2" --reads "$3" --reservations "$4" --stream-share 1 --out "$OUT/$1.json" || true
  cpu1=$(metric process_cpu_seconds_total); steps1=$(metric catkin_entry_steps_total)
  python3 - "$1" "$cpu0" "$cpu1" "$steps0" "$steps1" "$(metric process_resident_memory_bytes)" "$OUT/$1.json" "$SPAN" <<'P'
import json, sys
name, cpu0, cpu1, steps0, steps1, rss, path, span = sys.argv[1:]
report = json.load(open(path))
got = {k: round(v * float(span)) for k, v in report["throughput"].items()}
print(json.dumps({"point": name, "cpu_s": round(float(cpu1) - float(cpu0), 3), "steps": int(steps1) - int(steps0),
                  "rss_mb": round(float(rss) / 2**20, 1), **got, "checks": {k: report["checks"][k] for k in
                  ("lost", "doubled", "incomplete", "wrong_answers", "wrong_not_run")}}))
P
}

start_standins "${TOPOLOGY:-examples/small.json}"
start_control 0
start_entry 0 --address-lifetime 5s
wait_ready "$(vm_ip 0):8083"; wait_ready "$ADDR"
"$BIN/catkinctl" --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" sheet apply "${SHEET:-examples/sheet.csv}" >"$OUT/sheet.txt"
sleep 3
point idle 0.01 0 0
for rate in 15 30 60; do point "completions-$rate" $rate 0 0; done
for rate in 80 160 300; do point "calls-$rate" 0.01 $((rate / 2)) $((rate / 2)); done
