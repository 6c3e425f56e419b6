#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. record.txt holds what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3 strayentries review/12
