#!/bin/sh
# Plays the case of claim.txt and writes what was sent, answered and run to record.txt in this folder.
# With TROUBLE=0 it does the same without the disruption.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
record=review/9/record.txt
if [ "${TROUBLE:-1}" = 0 ]; then
    trouble=0
else
    trouble=1
fi
[ -x target/release/monsoonfield ] && [ -x target/review-2/standins-3 ] || exit 2
TROUBLE=$trouble exec target/review-2/standins-3 9 "$record"
