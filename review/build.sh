#!/bin/sh
# Builds the stand-ins of all cases, which use only the standard library. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand-ins review/stand-ins/main.rs
