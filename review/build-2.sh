#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts review/6 to review/10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() { g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ireview "$1" -o "target/review-2/$2" -lboost_json -lpthread; }
build review/worker_2.cpp worker
for source in review/*/case.cpp; do
  folder=${source#review/}
  build "$source" "case-${folder%/case.cpp}"
done
