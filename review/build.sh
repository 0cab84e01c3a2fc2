#!/usr/bin/env bash
# Builds the daemon as the deploy file says, and the stand-ins of the review. Needs no network: all
# packages are those of the project's own lock file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --bin lapisdrum
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
