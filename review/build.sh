#!/bin/sh
# Builds the stand-ins of all cases into review/out.
set -eu
cd "$(dirname "$0")"
mkdir -p out
javac -J-XX:-UsePerfData -nowarn -d out standin/*.java
