#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/review/QueuedAtStop.class ] && [ -x target/jre/bin/java ] || exit 2
exec "$(bin/jdk)/bin/java" -cp target/review review.QueuedAtStop "$PWD" review/2
