#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 14 start, under target/review-3/. Needs a JDK and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/jdk)
mkdir -p target/review-3
"$JAVA_HOME/bin/javac" -d target/review-3 review/rig-3/*.java
