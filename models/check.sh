#!/usr/bin/env bash
# Checks all Promela models in this directory, or the file given as argument, with
# spin. NAME.pml must verify, and in each variant NAME.broken-*.pml spin must find an
# error, normally a violated assertion. Up to three models are checked concurrently,
# each with a limit of 2 GB of memory.
set -euo pipefail
cd "$(dirname "$0")"

# verify FILE checks a model and prints ok, violated, incomplete or error.
verify() {
  local dir
  dir=$(mktemp -d)
  trap 'rm -rf "$dir"' RETURN
  cp ./*.pml "$dir/"
  (
    cd "$dir"
    if ! spin -a "$1" >build.log 2>&1 || ! gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2048 -w -o pan pan.c 2>>build.log; then
      echo error
      return
    fi
    ./pan -m1000000 >pan.log 2>&1 || true
    if grep -q 'errors: [1-9]' pan.log; then
      echo violated
    elif grep -q 'search not completed\|max search depth too small\|out of memory' pan.log; then
      echo incomplete
    elif grep -q 'errors: 0' pan.log; then
      echo ok
    else
      echo error
    fi
  )
}

# check FILE compares the result with the one that the file name requires.
check() {
  local want=ok got
  case "$1" in *.broken-*) want=violated ;; esac
  got=$(verify "$1")
  echo "model $1: $got (want $want)"
  [ "$got" = "$want" ]
}

if [ $# -eq 1 ]; then
  check "$1"
  exit
fi
find . -maxdepth 1 -name '*.pml' ! -name '*.inc.pml' -printf '%f\n' | sort | xargs -P 3 -n 1 ./check.sh
