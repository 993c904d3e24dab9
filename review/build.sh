#!/usr/bin/env bash
# Builds the stand-ins of the review: one program, without dependencies, in target/.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
go build -o ../../target/review-standin .
