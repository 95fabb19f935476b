#!/bin/sh
# Builds the stand-ins of the cases from the standard library alone.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/standin .
