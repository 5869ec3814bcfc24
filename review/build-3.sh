#!/bin/sh
# Builds the stand-ins of the cases 13 and 14, with the compiler alone. Run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-4
rustc --edition 2021 -O -o target/review-4/review-4 review/standins-4/main.rs
