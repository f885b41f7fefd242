// Command fernlanding is one real proxy: it balances calls to the backends of a tier. Nothing in it knows of fleets, so
// that one on its own pays nothing for them; cmd/fernlanding-fleet does.
package main

import "fernlanding/internal/program"

func main() { program.Main(nil) }
