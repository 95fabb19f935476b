#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, beside the program of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./review/standin3
