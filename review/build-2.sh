#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standin-2/case*.cpp; do
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/$(basename "$source" .cpp)" "$source"
done
