#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 110 bin/review-rig2 open-id review/10
status=$?
[ $status -le 1 ] || exit 2
exit $status
