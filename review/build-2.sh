#!/bin/sh
# Builds the stand-ins of the second review, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/standins-2/main.rs
rustc --edition 2021 -O -o target/review-2/standins-3 review/standins-3/main.rs
