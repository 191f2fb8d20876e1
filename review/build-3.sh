#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They use no library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml \
    --target-dir target/review-standins-3
