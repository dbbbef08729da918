#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
for program in ../../bin/hitchspring ../bin/spoilt; do
  [ -x "$program" ] || { echo "could not run: $program has not been built"; exit 2; }
done
../bin/spoilt
status=$?
[ $status -le 1 ] || status=2
exit $status
