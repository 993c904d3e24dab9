#!/usr/bin/env bash
# Runs all unit tests with the race detector. Tests listed in KNOWN-RED.txt are
# passed over and printed; every other test must pass.
set -euo pipefail
cd "$(dirname "$0")/.."

skip=""
while read -r _ name; do
  echo "known red, passed over: $name"
  # Anchors every level of the name, so that only exactly this test is skipped.
  skip="${skip:+$skip|}^${name//\//\$/^}\$"
done < <(grep '^test: ' KNOWN-RED.txt || true)

# The soak plays in real time, so it has the machine to itself.
go=${GO:-go}
rest=$("$go" list ./... | grep -v '/platform/soak$')
if [ -n "$skip" ]; then
  # shellcheck disable=SC2086
  "$go" test -race -count=1 -skip "$skip" $rest
else
  # shellcheck disable=SC2086
  "$go" test -race -count=1 $rest
fi
exec "$go" test -count=1 ./platform/soak
