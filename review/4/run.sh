#!/usr/bin/env bash
# Runs the scenario other-kind, see claim.txt. TROUBLE=0 leaves out the disruption. Exit status: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/zinniasill-platform ] && [ -x target/review/standin ] || exit 2
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} target/review/standin -program target/zinniasill-platform \
	-folder "$folder" -record review/4/record.txt other-kind &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null; wait "$pid"; rm -rf "$folder"; exit 2' INT TERM
wait "$pid"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
