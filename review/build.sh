#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/reviewstandin .
