#!/usr/bin/env bash
# SPDX-License-Identifier: MIT
# Regenerates src/wire/generated from messages.thrift (needs thrift-compiler).
set -euo pipefail
cd "$(dirname "$0")/../src/wire"
mkdir -p generated
thrift --gen cpp:no_skeleton,moveable_types -out generated messages.thrift
rm -f generated/messages_constants.*
