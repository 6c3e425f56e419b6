#!/usr/bin/env bash
# Records the traces that CI replays again, all of them, and states for each the
# outcomes that today's run showed: to be read before they are committed. A core
# that decides otherwise leaves the course of an old recording, so this is due
# after such a change.
set -euo pipefail
cd "$(dirname "$0")/.."
STREAMS="stream.Finish stream.Cut stream.EmitToken node.Refused"
CALLS="call.Answer call.Refuse call.Send"

keep() { # failure, VM and core, what was done, kinds of actions to state
  local file=out/trace/$1.$2.jsonl.gz about=$3 kind args=()
  shift 3
  for kind in "$@"; do
    args+=("$kind=$(bin/catkinctl trace replay --json "$file" 2>/dev/null |
      python3 -c "import json, sys; print(json.load(sys.stdin)['actions'].get('$kind', 0))")")
  done
  echo "$file ${args[*]}"
  python3 scripts/keep-trace.py "$file" "$about" "${args[@]}"
}

for failure in stage-dies silent app-lost-replies kv-lost-replies kv-down engine-leaves apps-leave entry-killed \
  planned-stop sheet-race; do
  scripts/trace.sh $failure >/dev/null 2>&1
  grep -hE '"(lost|doubled|incomplete|wrong_answers|wrong_not_run)": [1-9]' "out/trace/$failure.report.json" && exit 1
done
keep stage-dies 0.entry "two stages die in the middle of streams; every stream goes on and ends whole" $STREAMS
keep stage-dies 2.entry "two stages die in the middle of streams; every stream goes on and ends whole" $STREAMS
keep silent 0.entry "all open connections to backend servers and the platform go silent; new ones work" $STREAMS $CALLS
keep app-lost-replies 1.entry "applications run calls and lose one reply in five; nothing is sent twice" $CALLS call.ForwardHome
keep kv-lost-replies 2.entry "the key-value service takes writes and loses half of the replies" $CALLS call.Claim call.RecordOutcome
keep kv-down 0.entry "the key-value service is down; only calls under callers' own keys are refused" $STREAMS $CALLS
keep engine-leaves 0.entry "an engine leaves while the VM list lags by a minute; it gets no new stream" $STREAMS
keep apps-leave 0.entry "every application replica refuses work because it leaves; refusals say not-run and are true" $CALLS
keep entry-killed 2.entry "another entry is killed; keys that name it are answered may-have-run and are never sent here" $CALLS call.ForwardHome
keep planned-stop 0.entry "the entry is stopped while callers hold its address and streams are open" $STREAMS $CALLS entrylist.CloseListener entrylist.Stop
keep sheet-race 0.control "two operators apply different sheets at once; the loser is told which rows clash" node.ApplyEnded
keep sheet-race 1.control "two operators apply different sheets at once; the loser is told which rows clash" node.ApplyEnded
