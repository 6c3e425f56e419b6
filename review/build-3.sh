#!/bin/sh
# Builds the program of the third review's scripts: it holds their store, replicas and consumers.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/standin-3
