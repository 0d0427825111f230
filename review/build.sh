#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The programs of the deploy file
# must be built as well.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/reviewstand ./review/_stand
