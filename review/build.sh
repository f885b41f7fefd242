#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The build of the deploy file comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/testdata/stand
