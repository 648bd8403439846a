#!/bin/sh
# Exits with 1 if MIXED was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the second answers.
cd "$(dirname "$0")" || exit 2
[ -x ../target/cases ] || exit 2
CASE=1 exec ../target/cases
