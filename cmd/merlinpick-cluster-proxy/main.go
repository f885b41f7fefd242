// Command merlinpick-cluster-proxy is cmd/merlinpick-proxy with one thing more: by the configuration's section fleet it is a member
// of a fleet. What that needs of libraries costs 3 MB of memory even without the section.
package main

import (
	"merlinpick/internal/cluster"
	"merlinpick/internal/program"
)

func main() { program.Main(cluster.ReadConfig) }
