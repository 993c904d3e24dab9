#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It needs no network: the
# module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-2/standin-2 .
