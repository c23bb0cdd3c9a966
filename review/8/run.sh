#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
. bin/jdk.sh || exit 2
[ -x target/gateway/runtime/bin/java ] && [ -f target/review-2/BrokenStream.class ] || exit 2
timeout -k 5 110 "$JAVA_HOME/bin/java" -cp target/review-2 BrokenStream "$PWD" review/8/record.txt
CODE=$?
case $CODE in 0 | 1) exit $CODE ;; *) exit 2 ;; esac
