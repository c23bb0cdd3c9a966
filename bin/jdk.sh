# Sourced by the other scripts. Sets JAVA_HOME to a JDK 21 or later and defines the class path, the
# JVM flags and build_if_needed, which recompiles if a source or POM is newer than the last build.
java_major_version() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p'
}
find_jdk() {
  local home major_version
  for home in "${BULRUSHPIER_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/*; do
    [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
    major_version=$(java_major_version "$home")
    if [ "${major_version:-0}" -ge 21 ]; then
      echo "$home"
      return 0
    fi
  done
  echo "bulrushpier: no JDK 21 or later found; set BULRUSHPIER_JAVA_HOME" >&2
  return 1
}
JAVA_HOME=$(find_jdk) || exit 1
export JAVA_HOME
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
CLASSES="$ROOT/rig/target/classes:$ROOT/daemon/target/classes:$ROOT/platform/target/classes:$ROOT/library/target/classes:$ROOT/rig/target/lib/*"
JVM_FLAGS=(-Dmsgpack.universal-buffer=true -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xss256k -Xshare:auto -XX:-UsePerfData)
build_if_needed() {
  if [ ! -d "$ROOT/rig/target/lib" ] || [ -n "$(find "$ROOT"/*/src/main "$ROOT"/*/pom.xml -newer "$ROOT/rig/target/built" 2>/dev/null | head -1)" ] || [ ! -f "$ROOT/rig/target/built" ]; then
    (cd "$ROOT" && mvn -q -B process-classes 2>"$ROOT/rig-build.log" || { cat rig-build.log >&2; exit 1; }) || exit 1
    touch "$ROOT/rig/target/built"
  fi
}
