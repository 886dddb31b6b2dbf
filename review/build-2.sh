#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are one program of the standard library alone: nothing is fetched.
set -eu
cd "$(dirname "$0")/rig2"
CGO_ENABLED=0 go build -buildvcs=false -o rig2 .
