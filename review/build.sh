#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review, and the project's own stand-ins with them.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --manifest-path review/harness/Cargo.toml
