// Command merlinpick-simadapter runs many balancers on the simulator's wire: events on standard input, actions on standard
// output, a JSON object a line. It maps the wire's names to those of package balancer (wire.go) and never decides anything
// itself.
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
