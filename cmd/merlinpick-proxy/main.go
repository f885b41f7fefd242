// Command merlinpick-proxy is the load-balancing proxy without cluster support, and without the libraries
// that clusters need. Use merlinpick-cluster-proxy to join a cluster.
package main

import "merlinpick/internal/program"

func main() { program.Main(nil) }
