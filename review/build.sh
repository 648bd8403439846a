#!/bin/sh
# Builds the stand-ins and clients of all scripted cases into review/target/. It needs
# only the standard library, so no network.
set -e
cd "$(dirname "$0")"
mkdir -p target
for d in [1-9]; do
	if [ -f "$d/main.go" ]; then
		GOWORK=off GOFLAGS=-mod=mod go build -o "target/case$d" "./$d"
	fi
done
