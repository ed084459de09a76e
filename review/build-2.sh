#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The system itself is
# built by the line of deploy/system.toml. The module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target/review
GOFLAGS="-buildvcs=false" GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/standin2 .
