#!/usr/bin/env bash
# Records the traces in testdata/traces from real processes on loopback, while
# failures are made. Run from the repository's root after `make build`:
#   internal/ctl/testdata/record.sh internal/ctl/testdata/traces
set -euo pipefail
TRACES=$(realpath "$1")
. scripts/fleet.sh
OUT=$(mktemp -d)
export LIFETIME=3s

fleet() { # flags of VM 0's control process, flags of its entry process
  start_standins examples/small.json
  for n in 1 2; do start_control "$n"; start_entry "$n" --address-lifetime $LIFETIME; done
  start_control 0 $1
  start_entry 0 --address-lifetime $LIFETIME $2
  for n in 0 1 2; do wait_ready "$(vm_ip "$n"):8083"; done
  ctl "$(vm_ip 1)" sheet apply examples/sheet.csv --wait 10s
  for n in 0 1 2; do wait_ready "$(vm_ip "$n"):8080"; done
}

ctl() { local at=$1; shift; "$BIN/catkinctl" "$@" --addr "$at:8083" --key "$OPERATOR_KEY" || true; }

prefix() { curl -fsS "http://$1:8080/v1/addresses?team=lager" | sed 's/.*"key_prefix":"\([^"]*\)".*/\1/'; }

reserve() { # address, key
  echo "$2: $(curl -sS -o /dev/null -w '%{http_code} %header{Catkin-Verdict} %header{Catkin-Cause}' "http://$1:8080/services/ordrebok/reservations" \
    -H 'Catkin-Team: lager' -H "Idempotency-Key: $2" -H 'Catkin-Timeout-Ms: 1500' -d '{"pallets":2}')"
}

end() { # file
  stop_all
  PID=()
  gzip -9n <"$OUT/trace" >"$TRACES/$1.jsonl.gz"
}

record_calls() {
  fleet "" "--trace $OUT/trace"
  local here there p0 p1; here=$(vm_ip 0); there=$(vm_ip 1)
  p0=$(prefix "$here"); p1=$(prefix "$there")
  reserve "$here" "${p0}plain"; reserve "$there" "${p0}plain"; reserve "$here" "${p1}forwarded"
  fault '{"target":"ordrebok/*","kind":"silent"}'
  reserve "$here" "${p0}silent"; reserve "$there" "${p0}silent"
  fault '{"target":"ordrebok/*","kind":"lose_reply","count":1}'
  reserve "$here" "${p0}lost"; reserve "$there" "${p0}lost"; reserve "$here" "${p0}lost"
  fault '{"target":"ordrebok/*","kind":"lose_reply","off":true}'
  fault '{"target":"ordrebok/*","kind":"leave"}'
  reserve "$there" "${p0}leaving"
  fault '{"target":"ordrebok/*","kind":"leave","off":true}'
  sleep 2
  reserve "$there" "${p0}leaving"
  fault '{"target":"kv","kind":"down"}'
  reserve "$here" "own-key"; reserve "$here" "${p0}outage"
  fault '{"target":"kv","kind":"down","off":true}'
  kill -KILL "${PID[entry1]}"; wait "${PID[entry1]}" 2>/dev/null || true
  start_entry 1 --address-lifetime $LIFETIME
  wait_ready "$there:8080"
  reserve "$here" "${p1}forwarded"
  curl -fsS "http://$STANDIN_IP:18003/ledger" >"$OUT/ledger.json"
  end calls
}

sheet() { # file, value
  printf 'day,team,service,limit,unit\n2027-01-0%d,lager,skrivar,%d,tokens/s\n' "$2" "$3" >"$OUT/$1.csv"
}

record_config() {
  fleet "--trace $OUT/trace" ""
  local here there; here=$(vm_ip 0); there=$(vm_ip 1)
  sheet kari 1 9000; sheet ola 1 9500; sheet lost 2 10000; sheet outage 3 11000
  ctl "$here" sheet apply "$OUT/kari.csv" & local first=$!
  ctl "$there" sheet apply "$OUT/ola.csv"
  wait $first
  kill -STOP "${PID[control2]}"
  fault '{"target":"kv","kind":"lose_reply","path":"/v1/kv","count":2}'
  ctl "$here" sheet apply "$OUT/lost.csv"
  ctl "$here" sheet apply "$OUT/lost.csv"
  kill -CONT "${PID[control2]}"
  ctl "$here" sheet apply "$OUT/kari.csv"
  fault '{"target":"kv","kind":"down"}'
  ctl "$here" sheet apply "$OUT/outage.csv"
  fault '{"target":"kv","kind":"down","off":true}'
  ctl "$here" sheet apply "$OUT/outage.csv" --wait 20s
  ctl "$here" config status
  end config
}

record_drain() {
  fleet "" "--trace $OUT/trace"
  local here; here=$(vm_ip 0)
  prefix "$here" >/dev/null
  curl -sSN "http://$here:8080/v1/completions" -H 'Catkin-Team: klubbservice' -H 'Catkin-Timeout-Ms: 30000' \
    -d '{"model":"skrivar","prompt":"Dear treasurer","max_tokens":400,"stream":true}' >"$OUT/stream" & local stream=$!
  sleep 0.5
  ctl "$(vm_ip 1)" drain "$(vm_name 0)"
  sleep 2.5
  reserve "$here" "stale-address"
  wait $stream
  tail -c 20 "$OUT/stream"
  wait "${PID[entry0]}" || true
  end drain
}

for what in ${2:-calls config drain}; do "record_$what"; done
