#!/usr/bin/env bash
# Plays the regression runs on the users' bench and leaves their output in a folder.
#
#   deploy/regressions.sh BENCH SITES OUTPUT score|hunt
#
# BENCH is the bench's program, SITES the folder with the site files, OUTPUT the
# folder for the output. Sites are played one after another, with half of the
# processors. Hunts are 40 days on sites below 60 machines and 8 on the others.
set -euo pipefail
if [ $# -ne 4 ]; then
  sed -n '2,8s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1 sites=$2 output=$3 verb=$4
jobs=$(( ($(nproc) + 1) / 2 ))
mkdir -p "$output"

# play NAME HUNTED_DAYS FILE
play() {
  local name=$1 days=$2 file=$sites/$3
  case $verb in
    score) "$bench" score "$file" --jobs "$jobs" --why "regression run" ;;
    hunt) "$bench" hunt "$file" --days "$days" --jobs "$jobs" --why "regression run" ;;
    *) echo "the verb is $verb, expected score or hunt" >&2; exit 2 ;;
  esac > "$output/$verb-$name.txt" 2>&1 || echo "$name: $verb failed, see $output/$verb-$name.txt"
  tail -n 3 "$output/$verb-$name.txt"
}

play linrota 40 sites/linrota.toml
play hinokuni-haven 40 sites/hinokuni-haven.toml
play linrota-grown 8 grown/linrota-grown.toml
play hinokuni-haven-grown 8 grown/hinokuni-haven-grown.toml
play furrowline-grown 8 demands/furrowline-grown.toml
play naik-haven-grown 8 demands/naik-haven-grown.toml
play linrota-large 8 large/linrota-large.toml
