#!/usr/bin/env bash
# Plays this case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if ! [ -x target/zinniasill-platform ] || ! [ -x target/review-standin-2 ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/review-standin-2 --case leave-unanswered --record "$folder/record.txt" --trouble "${TROUBLE:-1}"
