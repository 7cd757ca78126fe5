#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../../target/review-2/standin2 .
