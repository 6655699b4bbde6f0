#!/usr/bin/env bash
# Exits with 1 if REFUSED was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/micahaven-review ] && [ -x target/micahaven-router ] || exit 2
exec timeout 115 target/micahaven-review surplus-refusal review/2
