#!/usr/bin/env bash
# Plays the case. With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
. "$(dirname "${BASH_SOURCE[0]}")/../case.sh"
run_case EndlessAnswer "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)" "$TROUBLE"
