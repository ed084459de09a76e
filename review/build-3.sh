#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, a module without
# dependencies. The system itself is built by the line of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOFLAGS="-buildvcs=false" GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review3 .
