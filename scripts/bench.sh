#!/usr/bin/env bash
# Runs catkin-load against a fleet of its own under one failure after another,
# and writes a JSON report for each and one HTML page. Ends with 1 if any check
# of any run found a fault. Name scenarios to run only those:
#
#   scripts/bench.sh calm entry-killed
#
# Settings by environment: VMS, TOPOLOGY, COMPLETIONS, READS, RESERVATIONS (a
# second), SECONDS_EACH, LOOP (see fleet.sh).
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=${OUT:-out/bench}
. scripts/fleet.sh
VMS=${VMS:-6}
EACH=${SECONDS_EACH:-20}
ALL=(calm overload kv-down kv-lost-replies app-lost-replies silent stage-dies engine-leaves app-leaves
  entry-killed entry-frozen entry-stopped control-killed control-frozen vm-killed failure-domain-killed)
rm -rf "$OUT" && mkdir -p "$OUT"
trap 'stop_all' EXIT
FAULTY=0

entries() {
  local n list=""
  for n in $(seq 0 $((VMS - 1))); do list+=",$(vm_ip "$n"):8080"; done
  echo "${list:1}"
}

up() { # VM number
  start_control "$1"
  start_entry "$1" --address-lifetime "${LIFETIME:-5s}"
}

ready() { # VM number
  wait_ready "$(vm_ip "$1"):8083"
  wait_ready "$(vm_ip "$1"):8080"
}

signal() { # signal, process
  kill -"$1" "${PID[$2]}"
}

# load NAME [flags]: one run of the bench in the background; its process is
# PID[load].
load() {
  local name=$1; shift
  "$BIN/catkin-load" --entries "$(entries)" --control "$FAULTS" --name "$name" --out "$OUT/$name.json" \
    --duration "${EACH}s" --completions "${COMPLETIONS:-25}" --reads "${READS:-150}" \
    --reservations "${RESERVATIONS:-150}" "$@" &
  PID[load]=$!
}

# finish NAME: waits for the run and prints what it found.
finish() {
  local status=0
  wait "${PID[load]}" || status=$?
  unset "PID[load]"
  if [ $status -ne 0 ]; then FAULTY=1; fi
  echo "== $1: exit code $status"
  grep -E '"(recovery_s|worst_ratio|label|wrong_answers|incomplete|lost|doubled|wrong_not_run|unresolved)"' "$OUT/$1.json" |
    tr -s ' \n' ' '
  echo
}

# failing NAME COMMAND...: a run in which COMMAND happens in the middle.
failing() {
  local name=$1; shift
  load "$name" --mark "$((EACH / 2))s:$name"
  sleep $((EACH / 2))
  "$@"
  finish "$name"
}

# with_fault NAME JSON: a run in which the stand-ins get a fault in the middle.
with_fault() {
  load "$1" --own-key-share 0.2 --fault "$((EACH / 2))s:$2"
  finish "$1"
  fault '{"target":"*","kind":"die","off":true}'
  fault '{"target":"*","kind":"leave","off":true}'
}

kill_domain() { # VM numbers with the domain of VM 1
  local n
  for n in $(seq 1 ${#DOMAINS[@]} $((VMS - 1))); do
    signal KILL "control$n"
    signal KILL "entry$n"
  done
}

revive_domain() {
  local n
  for n in $(seq 1 ${#DOMAINS[@]} $((VMS - 1))); do up "$n"; done
  for n in $(seq 1 ${#DOMAINS[@]} $((VMS - 1))); do ready "$n"; done
}

kill_vm() { signal KILL control1; signal KILL entry1; }

scenario() {
  case $1 in
    calm) load calm; finish calm ;;
    overload) # three times the accepted limit of the service
      load overload --bound-calls 400 --reads 600 --reservations 600 --completions 5 --patience 3s
      finish overload ;;
    kv-down) with_fault "$1" '{"target":"kv","kind":"down","for_ms":6000}' ;;
    kv-lost-replies) with_fault "$1" '{"target":"kv","kind":"lose_reply","share":0.3,"for_ms":6000}' ;;
    app-lost-replies) with_fault "$1" '{"target":"ordrebok/*","kind":"lose_reply","share":0.1,"for_ms":6000}' ;;
    silent) with_fault "$1" '{"target":"*","kind":"silent"}' ;;
    stage-dies) with_fault "$1" '{"target":"skrivar-01-s2","kind":"die_midstream","count":3}' ;;
    engine-leaves) with_fault "$1" '{"target":"skrivar-01-s1","kind":"leave"}' ;;
    app-leaves) with_fault "$1" '{"target":"ordrebok-1","kind":"leave"}' ;;
    entry-killed) failing "$1" signal KILL entry1; start_entry 1 --address-lifetime "${LIFETIME:-5s}"; ready 1 ;;
    entry-frozen) failing "$1" signal STOP entry1; signal CONT entry1 ;;
    entry-stopped) failing "$1" signal TERM entry1; wait "${PID[entry1]}" || true
      signal KILL control1; up 1; ready 1 ;;
    control-killed) failing "$1" signal KILL control1; start_control 1; ready 1 ;;
    control-frozen) failing "$1" signal STOP control1; signal CONT control1 ;;
    vm-killed) failing "$1" kill_vm; up 1; ready 1 ;;
    failure-domain-killed) failing "$1" kill_domain; revive_domain ;;
    *) echo "no scenario $1: want ${ALL[*]}" >&2; exit 2 ;;
  esac
  sleep 5
}

start_standins "${TOPOLOGY:-examples/small.json}"
for n in $(seq 0 $((VMS - 1))); do up "$n"; done
for n in $(seq 0 $((VMS - 1))); do ready "$n"; done
"$BIN/catkinctl" sheet apply --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" --wait 10s "${SHEET:-examples/sheet.csv}"
RUN=("$@")
if [ ${#RUN[@]} -eq 0 ]; then RUN=("${ALL[@]}"); fi
REPORTS=()
for s in "${RUN[@]}"; do
  scenario "$s"
  REPORTS+=("$OUT/$s.json")
done
"$BIN/catkinctl" report "${REPORTS[@]}" >"$OUT/report.html"
echo "== reports under $OUT/, page $OUT/report.html"
exit $FAULTY
