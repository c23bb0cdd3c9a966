#!/usr/bin/env bash
. "$(dirname "${BASH_SOURCE[0]}")/../case.sh"
run_case EndlessAnswer "$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
