#!/usr/bin/env bash
# Builds what the cases 6 to 10 start beside the programs of the deploy file, which have to be built before.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stand2 ./review/testdata/stand2
