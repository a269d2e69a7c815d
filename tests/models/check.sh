#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Checks a specification with Rumur: check.sh NAME BUILD_DIR. The whole
# specification must hold, and each GUARD_ set to false must give a
# counter-example. A VARIANT (NAME=value) is checked in addition.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
name=$1
out=$2/models/$name
mkdir -p "$out"

build() { # label, sed expressions
  local label=$1; shift
  sed "$@" "$here/$name.m" > "$out/$label.m"
  rumur --deadlock-detection off --output "$out/$label.c" "$out/$label.m"
  cc -O2 -march=native -std=c11 -w "$out/$label.c" -lpthread -latomic -o "$out/$label" 2>/dev/null ||
    cc -O2 -std=c11 -w "$out/$label.c" -lpthread -o "$out/$label"
}

states() { sed -n 's/.*[^0-9]\([0-9][0-9]*\) states.*/\1/p' "$1" | tail -n 1; }

holds() {
  local label=$1; shift
  build "$label" "$@"
  if ! "$out/$label" > "$out/$label.log" 2>&1; then
    echo "FAILED: $name ($label) does not hold; see $out/$label.log" >&2
    tail -n 60 "$out/$label.log" >&2
    exit 1
  fi
  echo "$name ($label): holds in $(states "$out/$label.log") states"
}

fails() {
  local label=$1; shift
  build "$label" "$@"
  if "$out/$label" > "$out/$label.log" 2>&1; then
    echo "FAILED: $name still holds without $label: the guard is not needed" >&2
    exit 1
  fi
  echo "$name without $label: counter-example"
}

variants=("")
[ "$name" = reservation ] && variants=("FENCING" "DOUBLED" "FENCING DOUBLED")
holds whole -e ''
for variant in "${variants[@]}"; do
  [ -z "$variant" ] && continue
  edits=()
  for constant in $variant; do
    edits+=(-e "s/^  $constant: true;/  $constant: false;/")
  done
  holds "without_${variant// /_}" "${edits[@]}"
done
for guard in $(sed -n 's/^  \(GUARD_[A-Z_]*\): true;.*/\1/p' "$here/$name.m"); do
  fails "$guard" -e "s/^  $guard: true;/  $guard: false;/"
done
