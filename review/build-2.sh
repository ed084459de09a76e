#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The system itself is
# built by the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin2 ./review/standin2
