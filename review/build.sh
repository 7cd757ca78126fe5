#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../../target/review/standin .
