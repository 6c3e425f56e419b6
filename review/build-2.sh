#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/standin-2 ./review/standin-2
