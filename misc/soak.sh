#!/usr/bin/env bash
# Runs real processes under random faults and prints each finding in a line, with
# its seed and the folder of its logs. The same seed gives the same faults.
# Usage: misc/soak.sh [--seed N] [--count N] [--seconds S] [--scale small|large]
#        [--restarts yes|no] [--delegation yes|no] [--control_storm yes|no]
#        [--replacements yes|no]
#   --seed     the first seed; without it, a fresh one is taken.
#   --count    how many seeds to run, one after another.
#   --seconds  how long faults come, for each seed.
#   --restarts whether workers start again under their ids (yes, no).
#   --delegation whether entries delegate jobs to agents, with more faults there;
#              without such restarts (yes, no).
#   --control_storm whether five control replicas freeze, run slowly and lose their
#              disks while large configurations come in quick succession (yes, no).
#   --replacements whether control hosts are replaced, as planned or as they vanish
#              while another one loses its disk, and control loses power while
#              workers come back as another kind (yes, no).
# YARDWHEEL_BUILD names the build folder, if it is not "build".
set -euo pipefail
cd "$(dirname "$0")/.."
options=("$@")
case " $* " in
*" --seed "*) ;;
*) options+=(--seed "$((RANDOM * 32768 + RANDOM))") ;;
esac
exec "${YARDWHEEL_BUILD:-build}/tests/soak" "${options[@]}"
