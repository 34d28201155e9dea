#!/usr/bin/env bash
# Builds the stand-ins and checks of the review's scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/cases review/standin/main.rs
