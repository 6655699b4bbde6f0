#!/usr/bin/env bash
# Plays the days of deploy/days on the sites given, with some seeds each.
# FLEETBENCH is the users' bench. Prints one line a play.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?FLEETBENCH must name the bench}"
seeds=${SEEDS:-"1 2 3"}
"$FLEETBENCH" build >/dev/null
for site in "$@"; do
  for day in deploy/days/*.toml; do
    for seed in $seeds; do
      "$FLEETBENCH" run "$site" "$day" --seed "$seed" 2>&1 |
        grep -E "^$(basename "$day" .toml) " | sed "s|^|$(basename "$site" .toml) seed $seed |" | cut -c1-230
    done
  done
done
