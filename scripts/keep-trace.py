#!/usr/bin/env python3
"""Keeps a recorded trace for CI: writes the outcomes that it must show into its
header. usage: keep-trace.py TRACE.jsonl.gz "what was done" KIND=COUNT..."""
import gzip
import json
import os
import sys

source, about, wanted = sys.argv[1], sys.argv[2], sys.argv[3:]
with gzip.open(source, "rt") as f:
    lines = f.read().splitlines()
header = json.loads(lines[0])
header["about"] = about
header["outcomes"] = []
for item in wanted:
    kind, count = item.split("=")
    header["outcomes"].append({"kind": kind, "count": int(count)})
lines[0] = json.dumps(header)
target = os.path.join("internal/replay/testdata", os.path.basename(source))
with gzip.GzipFile(target, "wb", mtime=0) as f:
    f.write(("\n".join(lines) + "\n").encode())
