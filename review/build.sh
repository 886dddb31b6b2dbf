#!/bin/sh
# Builds the stand-ins that the cases start. It needs no module but the standard library.
cd "$(dirname "$0")/standin" || exit 1
mkdir -p ../bin
GOWORK=off GOFLAGS=-mod=mod exec go build -o ../bin/standin .
