#!/usr/bin/env bash
# Runs every check listed in checks.txt. A specification must hold in its whole
# state space, and every assertion must be reached. A variant with a rule removed
# must violate the given assertion. Exits with a non-zero status if a check fails.
set -euo pipefail
cd "$(dirname "$0")"
readonly memory_mb=500 depth=1000000 jobs=4
work_dir=$(mktemp -d)
trap 'rm -rf "$work_dir"' EXIT

# check MODEL DEFINES EXPECTED DIRECTORY verifies one variant of a model in
# DIRECTORY and prints the result. For a model that holds it also prints the
# assertions.
check() {
  local model=$1 defines=$2 expected=$3 dir=$4
  mkdir -p "$dir" && cp "$model.pml" "$dir/" && cd "$dir"
  # shellcheck disable=SC2086 # $defines holds several arguments
  spin -a $defines "$model.pml" >spin.log || { cat spin.log; return 1; }
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o pan pan.c
  ./pan -m$depth >pan.log 2>&1 || true
  local states memory
  states=$(awk '/states, stored/ {print $1}' pan.log)
  memory=$(awk '/total actual memory usage/ {print $1}' pan.log)
  local label="$model $defines"
  if [ "$expected" = holds ]; then
    check_holds || { echo "FAIL $label: expected to hold"; grep -E 'pan:|error|assert' pan.log; return 1; }
    echo "ok   $label: holds, states=$states memory_mb=$memory"
    grep -o 'assert(.*)' "$model.pml" | sort -u | sed 's/^/       /'
    return
  fi
  if ! grep -qF "assertion violated $expected" <(sed 's/violated  */violated /' pan.log); then
    echo "FAIL $label: no counterexample for $expected"; grep -E 'pan:|errors:' pan.log; return 1
  fi
  echo "ok   $label: counterexample for $expected, states=$states"
}

# check_holds succeeds if pan.log reports a complete search without errors or
# unreached assertions.
check_holds() {
  grep -q 'errors: 0' pan.log &&
    ! grep -qE 'Search not completed|max search depth|out of memory|memory limit' pan.log &&
    ! grep -qE 'state [0-9]+, "assert' pan.log
}
export -f check check_holds
export memory_mb depth

start_seconds=$SECONDS
grep -vE '^(#|$)' checks.txt | sed 's/ *| */|/g' >"$work_dir/list"
run_count=0
while IFS='|' read -r model defines expected; do
  run_count=$((run_count + 1))
  printf '%s\0%s\0%s\0%s\0' "${model// /}" "$defines" "$expected" "$work_dir/$run_count"
done <"$work_dir/list" >"$work_dir/arguments"
status=0
xargs -0 -n4 -P"$jobs" bash -c 'out=$(check "$@"); code=$?; echo "$out"; exit $code' _ <"$work_dir/arguments" || status=1
echo "checked $run_count runs in $((SECONDS - start_seconds)) s"
exit $status
