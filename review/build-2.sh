#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review under target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
"$(bin/jdk)/bin/javac" -d target/review-2 review/rig/*.java \
  $(for n in 6 7 8 9 10; do find "review/$n" -name '*.java' 2>/dev/null; done)
