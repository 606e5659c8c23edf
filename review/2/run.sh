#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out; the driver reads it.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../support/run_case.sh" 2
