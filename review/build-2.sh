#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/harness2"
go build -o ../../target/review-2 .
