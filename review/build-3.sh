#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/standin3
