#!/usr/bin/env bash
# Measures whole systems of processes at the sizes of both deployments and writes docs/MEASUREMENTS.md from the results.
# Takes about nine minutes on eight cores; run it on a quiet machine.
set -euo pipefail
cd "$(dirname "$0")/.."
lab=${LAB:-./bin/micahaven-lab}
node=${NODE:-./bin/micahaven}
out=out/bench
mkdir -p "$out"

for deployment in tintamezcla umurage; do
  "$lab" experiment --micahaven "$node" --deployment $deployment --rate 600 --runs 2 --report "$out/$deployment-faults" \
    --faults kill-server,kill-leader,freeze-server,move-site,drain-server,kill-server+platform-down
  "$lab" experiment --micahaven "$node" --deployment $deployment --rate 600 --outage 60s --report "$out/$deployment-outage" --faults platform-down
  for rate in 500 1000 2000; do
    "$lab" experiment --micahaven "$node" --deployment $deployment --rate $rate --outage 5s --report "$out/$deployment-rate-$rate" --faults none
  done
done
"$lab" report --results "$out" --output docs
