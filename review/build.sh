#!/usr/bin/env bash
# Builds the daemon as the deploy file does, and the stand-ins of the scripts. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline -p borageswitch_platform
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
