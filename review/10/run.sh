#!/usr/bin/env bash
# Plays the case of claim.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cardamomhatch ] || [ ! -x target/review-2/standin-2 ]; then
  echo "build first: the build line of deploy/system.toml, and review/build-2.sh" >&2
  exit 2
fi
exec target/review-2/standin-2 gone-clients review/10/record.txt
