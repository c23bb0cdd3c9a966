#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start, in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/jdk.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" --release 21 -d target/review-2 review/standins-2/src/*.java
