// Package experiments holds the experiments that come with the lab, so that the built program has them at hand.
package experiments

import "embed"

// Files are the experiments, by file name.
//
//go:embed *.toml
var Files embed.FS
