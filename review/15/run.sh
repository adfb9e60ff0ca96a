#!/usr/bin/env bash
# Runs the case after the build of deploy/system.toml and review/build-3.sh. TROUBLE=0: no disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bin/jdk) || exit 2
exec "$JAVA_HOME/bin/java" -cp target/review-3 Case15 review/15
