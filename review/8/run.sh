#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
for program in ../rig2/rig2 ../../bin/yardwinch; do
	if [ ! -x "$program" ]; then
		echo "could not run: $program is missing; build as the deploy file says, then review/build-2.sh"
		exit 2
	fi
done
exec ../rig2/rig2 hung ../.. .
