#!/bin/sh
# Builds the stand-ins of the scripts in review/, with the compiler alone: they use no library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2021 -O -o target/review/standin review/standins/main.rs
