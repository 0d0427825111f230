#!/bin/sh
# Builds the stand-ins that the scripts in review/11 and higher start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review3
go build -o target/review3/stand3 ./review/_stand3
