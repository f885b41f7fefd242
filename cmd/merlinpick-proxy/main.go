// Command merlinpick-proxy is the load balancing proxy. It cannot join a cluster, so it does not load the libraries
// that clusters need; cmd/merlinpick-cluster-proxy can.
package main

import "merlinpick/internal/program"

func main() { program.Main(nil) }
