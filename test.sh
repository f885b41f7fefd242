#!/usr/bin/env bash
# The whole test suite: formatting, vet, tests, and the size limits of the policy files.
set -eu
cd "$(dirname "$0")"

max_lines=1200  # non-blank lines of all policy files together: the platform's limit
max_columns=110

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted by gofmt:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go test -race ./...

# The proxy and the adapter carry no library and nothing of the lab.
foreign=$(go list -deps ./cmd/fernlanding ./cmd/simhost | grep -E '^[^/]+\.[^/]+/|^fernlanding/internal/lab' || true)
[ -z "$foreign" ] || { printf 'the proxy or the adapter depends on:\n%s\n' "$foreign"; exit 1; }

policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ] || { echo 'deploy/balancer.toml names no policy files'; exit 1; }
lines=$(cat $policy | grep -c '[^[:space:]]')
echo "policy files: $lines non-blank lines (at most $max_lines)"
[ "$lines" -le "$max_lines" ]
# A tab counts as four columns.
long=$(cat $policy | sed 's/\t/    /g' | awk -v m=$max_columns 'length($0) > m')
if [ -n "$long" ]; then
  printf 'lines over %s columns:\n%s\n' "$max_columns" "$long"
  exit 1
fi
