#!/bin/sh
# Builds the stand-in that the scripts of the third review start. It needs no dependency.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR=target/review-3 exec cargo build --release --offline \
    --manifest-path review/standin-3/Cargo.toml
