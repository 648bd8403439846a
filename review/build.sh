#!/bin/sh
# Builds the stand-ins, clients and scripted cases into review/target/cases. It needs only the
# standard library, so no network.
set -e
cd "$(dirname "$0")"
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod go test -c -o target/cases ./cases
