// Command merlinpick-cluster-proxy is the load-balancing proxy of cmd/merlinpick-proxy with support for
// clusters: it joins one if the configuration has a "fleet" section. The libraries for this take 3 MB of
// memory, even without the section.
package main

import (
	"merlinpick/internal/cluster"
	"merlinpick/internal/program"
)

func main() { program.Main(cluster.ReadConfig) }
