#!/usr/bin/env bash
# Plays the fault soak: the seeds that ever failed, then fresh ones, of random faults, of
# planned work, and of random faults beside servers that ask for something, beside a store that
# is restored from older copies, beside servers that restart or live on without an entry,
# beside managers that end, stall or lose the store meanwhile, and beside drills that restore the
# store while nodes are killed and an added server is cut off from the store.
# ROUNDS is the number of fresh seeds of each, LENGTH how long faults last in a round,
# NODES the number of processes.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/micahaven-router ./cmd/micahaven-soak
nodes="${NODES:-4}"
length="${LENGTH:-25s}"
failed=0
for seed in $(grep -v '^#' internal/soak/seeds.txt | cut -d' ' -f1); do
  planned=""
  case "$seed" in
    planned:*) planned=--planned ;;
    needs:*) planned=--needs ;;
    restores:*) planned=--restores ;;
    restarts:*) planned=--restarts ;;
    managers:*) planned=--managers ;;
    drills:*) planned=--drills ;;
    managers+restores:*) planned="--managers --restores" ;;
  esac
  ./bin/micahaven-soak $planned --seed "${seed#*:}" --nodes "$nodes" --length "$length" || failed=1
done
for planned in "" --planned --needs --restores --restarts --managers "--managers --restores" --drills; do
  ./bin/micahaven-soak $planned --rounds "${ROUNDS:-3}" --nodes "$nodes" --length "$length" || failed=1
done
exit $failed
