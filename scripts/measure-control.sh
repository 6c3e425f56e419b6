#!/usr/bin/env bash
# Measures what catkin-control costs: processor time, resident memory and bytes
# per second of each process, at rest and in use, with VMS entry VMs on loopback.
#
#   VMS=6 SECONDS_EACH=30 scripts/measure-control.sh
#
# Bytes are those of all TCP connections open at the end of a span (ss), so a
# connection closed in between is missed; catkin_peer_wire_bytes_total on
# /metrics counts every byte between the system's processes.
set -euo pipefail
cd "$(dirname "$0")/.."
NET=${NET:-40}
STANDIN_IP=${STANDIN_IP:-127.0.$NET.250}
OUT=${OUT:-out/measure-control}
. scripts/fleet.sh
vm_ip() { echo "127.0.$NET.$((1 + $1))"; }
VMS=${VMS:-6}
SPAN=${SECONDS_EACH:-30}
rm -rf "$OUT" && mkdir -p "$OUT"
trap stop_all EXIT

controls() { for n in $(seq 0 $((VMS - 1))); do echo "${PID[control$n]}"; done; }
entries() { for n in $(seq 0 $((VMS - 1))); do echo "${PID[entry$n]}"; done; }

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; } # user and system
rss_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }
wire_bytes() { # control process n: in and out, between the system's processes
  http GET "$(vm_ip "$1"):8083" /metrics | awk '/^catkin_peer_wire_bytes_total/ {s += $2} END {printf "%d", s}'
}
tcp_bytes() { # pid: sent and received on connections open now
  ss -tinpH | awk -v want="pid=$1," '
    /users:/ {mine = index($0, want)}
    mine {for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) {split($i, p, ":"); s += p[2]}}
    END {printf "%d", s}'
}

sample() { # file
  for n in $(seq 0 $((VMS - 1))); do
    local c=${PID[control$n]} e=${PID[entry$n]}
    echo "$n $(cpu_ticks "$c") $(rss_kb "$c") $(wire_bytes "$n") $(tcp_bytes "$c") $(cpu_ticks "$e") $(rss_kb "$e")"
  done >"$1"
}

report() { # name
  join "$OUT/before" "$OUT/after" | awk -v span="$SPAN" -v hz="$(getconf CLK_TCK)" -v name="$1" '
    {cpu = 100 * ($8 - $2) / hz / span; wire = ($10 - $4) / span; tcp = ($11 - $5) / span
     ecpu = 100 * ($12 - $6) / hz / span
     c += cpu; m += $9; w += wire; t += tcp; ec += ecpu; em += $13
     if (cpu > cx) cx = cpu; if ($9 > mx) mx = $9; if (wire > wx) wx = wire; if (tcp > tx) tx = tcp}
    END {printf "%-8s control: cpu %.2f%% of a core (most %.2f), rss %.1f MB (most %.1f), peers %.0f B/s (most %.0f), tcp %.0f B/s (most %.0f); entry: cpu %.2f%%, rss %.1f MB\n",
      name, c/NR, cx, m/NR/1024, mx/1024, w/NR, wx, t/NR, tx, ec/NR, em/NR/1024}'
}

measure() { # name
  http GET "$(vm_ip 0):8083" /metrics >"$OUT/metrics.before"
  sample "$OUT/before"
  sleep "$SPAN"
  sample "$OUT/after"
  http GET "$(vm_ip 0):8083" /metrics >"$OUT/metrics.after"
  report "$1"
  awk -v span="$SPAN" -f scripts/method-traffic.awk "$OUT/metrics.before" "$OUT/metrics.after" >"$OUT/methods $1.txt"
}

start_standins "${TOPOLOGY:-examples/small.json}"
for n in $(seq 0 $((VMS - 1))); do start_control "$n"; start_entry "$n" --address-lifetime 2s; done
for n in $(seq 0 $((VMS - 1))); do wait_ready "$(vm_ip "$n"):8083"; done
"$BIN/catkinctl" sheet apply examples/sheet.csv --addr "$(vm_ip 0):8083" --key "$OPERATOR_KEY" >"$OUT/apply.txt"
for n in $(seq 0 $((VMS - 1))); do wait_ready "$(vm_ip "$n"):8080"; done
sleep 10
echo "VMs: $VMS, seconds each: $SPAN, load average $(cut -d' ' -f1 /proc/loadavg)"
measure rest
if [ "${LOAD:-yes}" = yes ]; then
  hosts=$(for n in $(seq 0 $((VMS - 1))); do printf '%s:8080,' "$(vm_ip "$n")"; done)
  "$BIN/catkin-load" --entries "${hosts%,}" --control "$FAULTS" --duration "$((SPAN + 10))s" \
    --completions "${COMPLETIONS:-20}" --reads "${READS:-50}" --reservations "${RESERVATIONS:-50}" \
    --out "$OUT/load.json" 2>"$OUT/load.log" &
  PID[load]=$!
  sleep 5
  measure "in use"
fi
