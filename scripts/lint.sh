#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Runs the linter over every source file of the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files -- 'src/*.cc' | grep -v '_implementation.cc' |
  xargs -P "$(nproc)" -n 2 clang-tidy-16 -p build/lint --quiet 2>build/lint/notes ||
  { echo "the linter found faults" >&2; exit 1; }
