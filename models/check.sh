#!/usr/bin/env bash
# Checks every Promela model in this directory with spin. A file NAME.pml must
# verify; each file NAME.broken-*.pml must be rejected by the checker.
set -euo pipefail
cd "$(dirname "$0")"

# verify FILE: prints "ok" or "violated"; fails if the search was incomplete.
verify() {
  local dir
  dir=$(mktemp -d)
  cp ./*.pml "$dir/"
  (
    cd "$dir"
    spin -a "$1" >/dev/null
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -w -o pan pan.c
    ./pan -m1000000 >pan.log 2>&1 || true
    if grep -q 'search not completed\|max search depth too small\|out of memory' pan.log &&
      ! grep -q 'errors: [1-9]' pan.log; then
      echo incomplete
    elif grep -q 'errors: 0' pan.log; then
      echo ok
    else
      echo violated
    fi
  )
  rm -rf "$dir"
}

status=0
for model in *.pml; do
  [ -e "$model" ] || break
  case "$model" in
    *.inc.pml) continue ;;
    *.broken-*.pml) want=violated ;;
    *) want=ok ;;
  esac
  got=$(verify "$model")
  echo "model $model: $got (want $want)"
  [ "$got" = "$want" ] || status=1
done
exit $status
