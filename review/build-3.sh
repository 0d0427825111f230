#!/usr/bin/env bash
# Builds the stand-ins that the scripts of all reviews start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash review/build.sh
bash review/build-2.sh
mkdir -p target/review3
go build -o target/review3/stand3 ./review/_stand3
