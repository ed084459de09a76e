#!/bin/sh
# Plays the case stale-follower (see claim.txt). Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fuchsiaspard ] && [ -x target/review/standin ] || {
	echo "build first: the line of deploy/system.toml and review/build.sh" >&2
	exit 2
}
exec target/review/standin stale-follower review/5/record.txt
