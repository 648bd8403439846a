#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does not cut the hosts off.
cd "$(dirname "$0")" || exit 2
[ -x ../target/cases ] || exit 2
CASE=3 exec ../target/cases
