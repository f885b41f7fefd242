package report

import "fernlanding/internal/lab/result"

// HTML is still to come.
func HTML(dir string, r *result.Result) error { return nil }
