#!/usr/bin/env bash
# Plays case 13: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/system.toml and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standins-3 ] || [ ! -x target/release/monsoonfield ]; then
    echo "build the gateway and run review/build-3.sh first" >&2
    exit 2
fi
exec target/review/standins-3 13 review/13/record.txt
