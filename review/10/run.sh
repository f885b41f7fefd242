#!/usr/bin/env bash
# A new configuration moves discovery to an address where too many callers wait: see claim.txt. Exit 1: the rule was broken; 0: it held;
# 2: the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand2 ] || { echo 'run review/build-2.sh first'; exit 2; }
exec review/bin/stand2 crowded review/10
