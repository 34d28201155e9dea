#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O --crate-name cases -o target/review-2/cases review/standin-2/main.rs
