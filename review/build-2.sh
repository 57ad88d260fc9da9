#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10 into review/out/second. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/out/second
mkdir -p review/out/second
javac -J-XX:-UsePerfData -Xlint:all -Werror -d review/out/second review/standin2/*.java
