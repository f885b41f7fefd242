// Command merlinpick-proxy is one real proxy: it balances calls to the backends of a tier. Nothing in it knows of fleets, so
// that one on its own pays nothing for them; cmd/merlinpick-cluster-proxy does.
package main

import "merlinpick/internal/program"

func main() { program.Main(nil) }
