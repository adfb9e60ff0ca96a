#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases, after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 "$(bin/jdk)/bin/javac" -Xlint:all -d target/review
