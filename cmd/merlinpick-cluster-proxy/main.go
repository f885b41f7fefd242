// Command merlinpick-cluster-proxy is the load balancing proxy of cmd/merlinpick-proxy that can also join a cluster, by
// the configuration's section "fleet". The libraries for it take 3 MB of memory, also without the section.
package main

import (
	"merlinpick/internal/cluster"
	"merlinpick/internal/program"
)

func main() { program.Main(cluster.ReadConfig) }
