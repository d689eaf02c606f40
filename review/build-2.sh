#!/usr/bin/env bash
# Builds the stand-ins of the second review (cases 6 and later), after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
