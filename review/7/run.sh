#!/bin/sh
# Plays the case of claim.txt, without its disruption where TROUBLE is 0. Exits with 1 if the rule was broken, 0 if it held and 2 if
# the case could not run. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/thymeway ] || [ ! -x bin/review-2/rig2 ]; then echo "not built" >&2; exit 2; fi
exec bin/review-2/rig2 alter review/7
