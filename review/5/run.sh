#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -f target/review/review/CutWatch.class ] || { echo "run review/build.sh first"; exit 2; }
java -Xmx512m -cp target/review review.CutWatch "$PWD" "$temporary" review/5
