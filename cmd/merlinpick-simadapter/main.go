// Command merlinpick-simadapter runs many balancers against the simulator's wire protocol: it reads events
// from standard input and writes actions to standard output, as JSON objects of one line each. It maps the
// wire's names to those of package balancer (wire.go) and makes no decisions itself.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "merlinpick-simadapter: %v\n", err)
		os.Exit(1)
	}
}
