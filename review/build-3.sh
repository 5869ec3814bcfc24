#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins-3 review/standins-3/main.rs
