package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"merlinpick/internal/faultlab/result"
)

var spentFigures = []string{"in_b_s", "out_b_s", "calls_s", "cpu_pct", "memory_mb"}

// spentName splits the name of a figure of what a role spends: control.PHASE.ROLE.FIGURE.
func spentName(name string) (phase, role, figure string, ok bool) {
	part := strings.Split(name, ".")
	if len(part) != 4 || part[0] != "control" || !slices.Contains(spentFigures, part[3]) {
		return "", "", "", false
	}
	return part[1], part[2], part[3], true
}

// control prints what each role spent in each phase, one each of it: medians, the spread stands in result.json.
func control(w io.Writer, r *result.Result) {
	type row struct{ phase, role string }
	rows := map[row]map[string]result.Range{}
	for name, g := range r.Metrics {
		if phase, role, figure, ok := spentName(name); ok {
			at := row{phase, role}
			if rows[at] == nil {
				rows[at] = map[string]result.Range{}
			}
			rows[at][figure] = g
		}
	}
	if len(rows) == 0 {
		return
	}
	var order []row
	for at := range rows {
		order = append(order, at)
	}
	slices.SortFunc(order, func(a, b row) int { return cmp.Or(cmp.Compare(a.phase, b.phase), cmp.Compare(a.role, b.role)) })
	fmt.Fprintln(w, "control, each\tB/s in\tB/s out\tcalls/s\t% of a core\tMB")
	for _, at := range order {
		fmt.Fprintf(w, "%s %s", at.phase, at.role)
		for _, figure := range spentFigures {
			g, ok := rows[at][figure]
			switch {
			case !ok:
				fmt.Fprint(w, "\t-")
			case g.Median >= 1000:
				fmt.Fprintf(w, "\t%.0f", g.Median)
			default:
				fmt.Fprintf(w, "\t%.3g", g.Median)
			}
		}
		fmt.Fprintln(w)
	}
}
