#!/bin/bash
# Builds the stand-ins of the script cases; they use no libraries.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
