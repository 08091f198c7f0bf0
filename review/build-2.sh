#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, without a network. The build of the deploy file comes before.
set -e
cd "$(dirname "$0")/.."
CARGO_NET_OFFLINE=true exec cargo build --release --locked --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
