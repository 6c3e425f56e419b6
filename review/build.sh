#!/bin/sh
# Builds the stand-ins of the cases, after the build of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target
exec go build -tags review -o target/review-cases ./review/harness
