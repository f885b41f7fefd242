package capacity

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
)

func compare(a, b string) int { return cmp.Compare(a, b) }

// The classes of metrics: budgets and sums are of one class.
const (
	classBytes    = "bytes"
	classCPU      = "cpu"
	classMemory   = "memory"
	classTime     = "time"
	classMessages = "messages"
	classSize     = "size" // of a message
	classCount    = "count"
)

// unit is a unit as slopes may have it, with what makes the class's own of it.
type unit struct {
	class  string
	factor float64
}

// shown is the unit in which a class's metrics stand on the page.
var displayUnits = map[string]string{classBytes: "KB/s", classCPU: "% of a core", classMemory: "MB", classTime: "ms",
	classMessages: "1/s", classSize: "KB", classCount: ""}

var units = map[string]unit{
	"B/s": {classBytes, 1e-3}, "KB/s": {classBytes, 1}, "KiB/s": {classBytes, 1.024}, "MB/s": {classBytes, 1e3},
	"% of a core": {classCPU, 1}, "part of a core": {classCPU, 100}, "core": {classCPU, 100}, "cores": {classCPU, 100}, "ms/s": {classCPU, 0.1},
	"B": {classMemory, 1e-6}, "KB": {classMemory, 1e-3}, "KiB": {classMemory, 1024e-6}, "MB": {classMemory, 1}, "MiB": {classMemory, 1.048576},
	"ns": {classTime, 1e-6}, "us": {classTime, 1e-3}, "µs": {classTime, 1e-3}, "ms": {classTime, 1}, "s": {classTime, 1e3},
	"1/s": {classMessages, 1}, "msg/s": {classMessages, 1}, "messages/s": {classMessages, 1}, "calls/s": {classMessages, 1}, "1/min": {classMessages, 1. / 60},
	"bytes": {classSize, 1e-3}, "KB a message": {classSize, 1},
	"count": {classCount, 1}, "calls": {classCount, 1}, "messages": {classCount, 1}, "attempts": {classCount, 1}, "entries": {classCount, 1},
	"%": {classCount, 1}, "attempts/call": {classCount, 1},
}

// number is a value with three metrics that count; a whole one under a hundred thousand has all of them. None is -.
func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	if v == math.Trunc(v) && math.Abs(v) < 1e5 {
		return groupThousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits < 0 {
		p := math.Pow(10, float64(-digits))
		return groupThousands(strconv.FormatFloat(math.Round(v/p)*p, 'f', 0, 64))
	}
	s := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return groupThousands(s)
}

func groupThousands(s string) string {
	whole, rest, dot := strings.Cut(s, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dot {
		whole += "." + rest
	}
	return sign + whole
}

// quantity is a value of a class in a unit that reads well.
func formatQuantity(v float64, class string) string {
	if math.IsNaN(v) {
		return "-"
	}
	steps := map[string][]struct {
		least float64
		name  string
	}{
		classBytes:  {{1e3, "MB/s"}, {1, "KB/s"}, {1e-3, "B/s"}},
		classMemory: {{1, "MB"}, {1e-3, "KB"}, {1e-6, "B"}},
		classSize:   {{1e3, "MB"}, {1, "KB"}, {1e-3, "B"}},
		classTime:   {{1e3, "s"}, {1, "ms"}, {1e-3, "µs"}, {1e-6, "ns"}},
	}[class]
	for i, s := range steps {
		if math.Abs(v) >= s.least || i == len(steps)-1 {
			return formatNumber(v/s.least) + " " + s.name
		}
	}
	switch class {
	case classCPU:
		return formatNumber(v) + " %"
	case classMessages:
		return formatNumber(v) + "/s"
	}
	return formatNumber(v)
}

// quantities is a range as low / likely / high, or as one value.
func formatRange(r Range, class string) string {
	if r.isConstant() || math.IsNaN(r.Low) && math.IsNaN(r.Likely) && math.IsNaN(r.High) {
		return formatQuantity(r.Likely, class)
	}
	return fmt.Sprintf("%s / %s / %s", formatQuantity(r.Low, class), formatQuantity(r.Likely, class), formatQuantity(r.High, class))
}
