package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"merlinpick/internal/faultlab/result"
)

// usageMetrics are the metrics that each role has in each phase.
var usageMetrics = []string{"in_b_s", "out_b_s", "calls_s", "cpu_pct", "memory_mb"}

// parseUsageName splits the name of a usage metric: control.PHASE.ROLE.METRIC.
func parseUsageName(name string) (phase, role, metric string, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[0] != "control" || !slices.Contains(usageMetrics, parts[3]) {
		return "", "", "", false
	}
	return parts[1], parts[2], parts[3], true
}

// writeUsage prints the median control traffic, CPU usage and memory of one instance of each role in each
// phase.
func writeUsage(w io.Writer, r *result.Result) {
	type row struct{ phase, role string }
	rows := map[row]map[string]result.Range{}
	for name, values := range r.Metrics {
		if phase, role, metric, ok := parseUsageName(name); ok {
			key := row{phase, role}
			if rows[key] == nil {
				rows[key] = map[string]result.Range{}
			}
			rows[key][metric] = values
		}
	}
	if len(rows) == 0 {
		return
	}
	var order []row
	for key := range rows {
		order = append(order, key)
	}
	slices.SortFunc(order, func(a, b row) int { return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.role, b.role)) })
	fmt.Fprintln(w, "control, each\tB/s in\tB/s out\tcalls/s\t% of a core\tMB")
	for _, key := range order {
		fmt.Fprintf(w, "%s %s", key.phase, key.role)
		for _, metric := range usageMetrics {
			values, ok := rows[key][metric]
			switch {
			case !ok:
				fmt.Fprint(w, "\t-")
			case values.Median >= 1000:
				fmt.Fprintf(w, "\t%.0f", values.Median)
			default:
				fmt.Fprintf(w, "\t%.3g", values.Median)
			}
		}
		fmt.Fprintln(w)
	}
}
