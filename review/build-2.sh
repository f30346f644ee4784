#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases review/4 to review/8.
# The programs under review come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
