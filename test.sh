#!/usr/bin/env bash
# The whole test suite: gofmt, vet, staticcheck with all its checks, the size of the policy files, and the tests.
set -eu
cd "$(dirname "$0")"

max_file_lines=400  # of each policy file
max_columns=110

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  printf 'not formatted by gofmt:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./... ./.ci/cost ./.ci/start ./.ci/knownfailures ./.ci/minimalconfig
go tool staticcheck -checks all ./... ./.ci/cost ./.ci/start ./.ci/knownfailures ./.ci/minimalconfig

# The proxy and the simulator adapter link no library, since each costs start time and memory. The cluster proxy links those of
# the cluster alone: before one is added here, compare the builds with .ci/cost. None of them links the lab, the registry or tests.
may_carry='
  github.com/hashicorp/memberlist
  github.com/fxamacker/cbor github.com/google/btree github.com/hashicorp/errwrap github.com/hashicorp/go-immutable-radix
  github.com/hashicorp/go-metrics github.com/hashicorp/go-msgpack github.com/hashicorp/go-multierror
  github.com/hashicorp/go-sockaddr github.com/hashicorp/golang-lru github.com/miekg/dns github.com/sean-/seed
  github.com/x448/float16 golang.org/x/net golang.org/x/sys
'
never='^merlinpick/(internal/(faultlab|registry)|cmd/(merlinpick-faultlab|merlinpick-registry))(/|$)|^testing$|^net/http/httptest$'
# carries COMMAND ALLOWED: libraries that a command links but for those that match ALLOWED, and packages that none may link.
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
