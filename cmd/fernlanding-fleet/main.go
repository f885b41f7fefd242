// Command fernlanding-fleet is cmd/fernlanding with one thing more: by the configuration's section fleet it is a member
// of a fleet. What that needs of libraries costs 3 MB of memory even without the section.
package main

import (
	"fernlanding/internal/fleet"
	"fernlanding/internal/program"
)

func main() { program.Main(fleet.Read) }
