#!/usr/bin/env bash
# A case of the second review; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
[ -f review/out/second/KeyedWindow.class ] || { echo "review/build-2.sh has not run"; exit 2; }
exec java -XX:-UsePerfData -Xmx256m -cp review/out/second KeyedWindow "$root" "$folder"
