// Package experiments embeds the definitions of the lab's experiments, so that the built program contains
// them.
package experiments

import "embed"

// Files holds the experiment definitions: one TOML file for each experiment.
//
//go:embed *.toml
var Files embed.FS
