#!/bin/sh
# Exit code 0: the rule held, 1: it was broken, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/rig 10 review/10
