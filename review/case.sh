# Sourced by the run.sh of a case: run_case NAME FOLDER TROUBLE plays it and ends the shell with its
# status; if TROUBLE is 0, the disruption is left out.
run_case() {
  cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
  [ -d target/review/standins ] || { echo "review: run review/build.sh first" >&2; exit 2; }
  exec target/gateway/runtime/bin/java -Xmx1g -cp "target/review/standins:target/gateway/lib/*" Case "$1" "$2" "$3"
}
