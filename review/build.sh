#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for case in */case.cpp; do
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "out/case-$(dirname "$case")" "$case"
done
