#!/usr/bin/env bash
# The whole test suite: formatting, vet, staticcheck, the size of the policy files, and the tests.
set -eu
cd "$(dirname "$0")"

max_file_lines=400  # of each policy file
max_columns=110

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted by gofmt:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./... ./.ci/cost ./.ci/start ./.ci/knownfailures
go tool staticcheck ./... ./.ci/cost ./.ci/start ./.ci/knownfailures

# The proxy and the adapter carry no library, since each one costs start time and memory. The proxy with the fleet carries
# the fleet's alone: before one is added here .ci/cost compares the build with the one before. None of them has anything of
# the lab, of the list service or of tests.
may_carry='
  github.com/hashicorp/memberlist
  github.com/fxamacker/cbor github.com/google/btree github.com/hashicorp/errwrap github.com/hashicorp/go-immutable-radix
  github.com/hashicorp/go-metrics github.com/hashicorp/go-msgpack github.com/hashicorp/go-multierror
  github.com/hashicorp/go-sockaddr github.com/hashicorp/golang-lru github.com/miekg/dns github.com/sean-/seed
  github.com/x448/float16 golang.org/x/net golang.org/x/sys
'
never='^merlinpick/(internal/(faultlab|registry)|cmd/(merlinpick-faultlab|merlinpick-registry))(/|$)|^testing$|^net/http/httptest$'
# carries COMMAND MAY: the packages of libraries, but for those that match MAY, and of all that never may be, in a command.
carries() { go list -deps "./cmd/$1" | grep -E "^[^/]+\.[^/]+/|$never" | grep -vE "$2" || true; }
foreign=$(carries merlinpick-proxy '^$'; carries merlinpick-simadapter '^$'
  carries merlinpick-cluster-proxy "^($(echo $may_carry | sed 's/\./\\./g; s/ /|/g'))(/|\$)")
[ -z "$foreign" ] || { printf 'a proxy or the adapter depends on:\n%s\n' "$foreign"; exit 1; }

policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
[ -n "$policy" ] || { echo 'deploy/balancer.toml names no policy files'; exit 1; }
for file in $policy; do
  lines=$(wc -l < "$file")
  [ "$lines" -le "$max_file_lines" ] || { echo "$file has $lines lines, and policy files have $max_file_lines at most"; exit 1; }
done
# A tab counts as four columns.
long=$(cat $policy | sed 's/\t/    /g' | awk -v m=$max_columns 'length($0) > m')
if [ -n "$long" ]; then
  printf 'lines over %s columns:\n%s\n' "$max_columns" "$long"
  exit 1
fi

# All tests, last of all: the closing line tells how many passed. Those in KNOWN-RED.txt have to fail, and all others to pass.
go run ./.ci/knownfailures -race ./... ./.ci/knownfailures
