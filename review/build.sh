#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
