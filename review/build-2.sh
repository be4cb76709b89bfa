#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/stand-ins-2/Cargo.toml \
    --target-dir target/review-stand-ins-2
