#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand2 ./review/_stand2
