#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on; they use no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
