#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10 into review/out/second, after the build of the deploy file. The application that
# uses the library's Spring interceptor needs the project's declared dependency on Spring, which that build has fetched.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/out/second
mkdir -p review/out/second/host
javac -Xlint:all -Werror -d review/out/second review/standin2/*.java
goal="dependency:copy-dependencies -DincludeGroupIds=org.springframework,io.micrometer -DoutputDirectory=$PWD/review/out/second/lib"
mvn -q -B -o $goal || mvn -q -B $goal
javac -d review/out/second/host -cp "target/beechseam.jar:review/out/second/lib/*" review/standin2/host/*.java
