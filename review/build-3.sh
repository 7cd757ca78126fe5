#!/usr/bin/env bash
# Builds the stand-ins that the cases of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3 ./review/tools3
