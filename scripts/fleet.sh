# Functions that start and stop a fleet on loopback addresses. Sourced by the
# other scripts; a process starts no other, so a shell does.
#
# VM n has the address 127.0.1.n: callers connect to port 8080, other entries to
# 8081, control processes to 8082, operators to 8083. LOOP puts a second fleet
# beside the first: with LOOP=7 all addresses start with 127.7.

BIN=${BIN:-bin}
OUT=${OUT:-out}
LOOP=${LOOP:-0}
STANDIN_IP=${STANDIN_IP:-127.$LOOP.2.1}
KV=$STANDIN_IP:18000
VM_LIST=$STANDIN_IP:18001
FAULTS=$STANDIN_IP:18003
OPERATOR_KEY=${OPERATOR_KEY:-operator-key-for-loopback-only}
DOMAINS=(${DOMAINS:-bergen-a bergen-b stord})
declare -A PID

vm_ip() { echo "127.$LOOP.$((1 + $1 / 200)).$((1 + $1 % 200))"; }
vm_domain() { echo "${DOMAINS[$(($1 % ${#DOMAINS[@]}))]}"; }
vm_name() { echo "$(vm_domain "$1")-$(($1 / ${#DOMAINS[@]} + 1))"; }

start_standins() { # topology file; its addresses move to STANDIN_IP
  sed "s/127\.0\.0\.1/$STANDIN_IP/g" "$1" >"$OUT/topology.json"
  "$BIN/catkin-standin" --topology "$OUT/topology.json" 2>"$OUT/standin.log" &
  PID[standin]=$!
}

start_control() { # VM number, then further flags
  local n=$1 ip; ip=$(vm_ip "$n"); shift
  "$BIN/catkin-control" --vm "$(vm_name "$n")" --failure-domain "$(vm_domain "$n")" --region vestland \
    --listen "$ip:8082" --admin-listen "$ip:8083" --entry-addr "$ip:8080" --entry-peer-addr "$ip:8081" \
    --kv $KV --vm-list $VM_LIST --seeds "$(vm_ip 0):8082,$(vm_ip 1):8082,$(vm_ip 2):8082" \
    --admin-keys "morning=$OPERATOR_KEY" "$@" 2>>"$OUT/$(vm_name "$n").control.log" &
  PID[control$n]=$!
}

start_entry() { # VM number, then further flags
  local n=$1 ip; ip=$(vm_ip "$n"); shift
  "$BIN/catkin-entry" --vm "$(vm_name "$n")" --failure-domain "$(vm_domain "$n")" --region vestland \
    --listen "$ip:8080" --peer-listen "$ip:8081" --control "$ip:8082" --kv $KV "$@" \
    2>>"$OUT/$(vm_name "$n").entry.log" &
  PID[entry$n]=$!
}

start_vm() { start_control "$@"; start_entry "$@"; }

# http METHOD ADDRESS PATH [BODY [HEADER...]]: prints the answer's body; fails on
# a status of 400 or more. Bash alone, so that nothing has to be installed.
http() {
  local method=$1 addr=$2 path=$3 body=${4:-} header line status
  exec 9<>"/dev/tcp/${addr%:*}/${addr#*:}" || return 1
  {
    printf '%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n' "$method" "$path" "$addr" "${#body}"
    for header in "${@:5}"; do printf '%s\r\n' "$header"; done
    printf '\r\n%s' "$body"
  } >&9
  IFS=' ' read -r _ status line <&9 || true
  while IFS= read -r line <&9 && [ "$line" != $'\r' ]; do :; done
  cat <&9
  exec 9<&- 9>&-
  [ "${status:-599}" -lt 400 ]
}

wait_ready() { # address
  for _ in $(seq 1 300); do
    if http GET "$1" /readyz >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

fault() { http POST "$FAULTS" /fault "$1" >/dev/null; }

stop_all() { # gracefully, then at once
  local p
  for p in "${!PID[@]}"; do
    [ "$p" = standin ] || kill -TERM "${PID[$p]}" 2>/dev/null || true
  done
  for p in "${!PID[@]}"; do
    [ "$p" = standin ] || wait "${PID[$p]}" 2>/dev/null || true
  done
  [ -z "${PID[standin]:-}" ] || kill -TERM "${PID[standin]}" 2>/dev/null || true
  wait 2>/dev/null || true
}

kill_all() { # at once
  local p
  for p in "${!PID[@]}"; do kill -KILL "${PID[$p]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
