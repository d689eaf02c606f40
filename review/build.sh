#!/usr/bin/env bash
# Builds every stand-in that the cases start. Needs no network: the crate has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --locked --offline
