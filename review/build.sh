#!/usr/bin/env bash
# Builds the stand-ins and cases of the review in target/review/standins, after the build of the
# deploy file, whose libraries they use.
set -euo pipefail
. "$(dirname "$0")/../bin/jdk.sh"
cd "$ROOT"
[ -x target/gateway/runtime/bin/java ] || { echo "review: run the build of deploy/system.toml first" >&2; exit 2; }
rm -rf target/review/standins
mkdir -p target/review/standins
"$JAVA_HOME/bin/javac" --release 21 -nowarn -d target/review/standins -cp "target/gateway/lib/*" review/standins/*.java
