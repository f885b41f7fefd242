package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The classes of metrics. A budget or a sum has one class.
const (
	classBytes    = "bytes"
	classCPU      = "cpu"
	classMemory   = "memory"
	classTime     = "time"
	classMessages = "messages"
	classSize     = "size" // of a message
	classCount    = "count"
)

// unit describes a unit that slopes may use.
type unit struct {
	class  string
	factor float64 // to the class's display unit
}

// displayUnits are the units of each class in budgets and on the page.
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

// tomlFloat prints a number as a TOML float: with a point or an exponent.
type tomlFloat float64

// String returns the shortest form that reads back as the same number.
func (f tomlFloat) String() string {
	text := strconv.FormatFloat(float64(f), 'g', -1, 64)
	if strings.ContainsAny(text, ".eIN") {
		return text
	}
	return text + ".0"
}

// formatNumber returns a value with three significant digits, or all digits of an integer below 100,000; NaN is "-".
func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return "-"
	}
	if v == math.Trunc(v) && math.Abs(v) < 1e5 {
		return groupThousands(strconv.FormatFloat(v, 'f', 0, 64))
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits < 0 {
		scale := math.Pow(10, float64(-digits))
		return groupThousands(strconv.FormatFloat(math.Round(v/scale)*scale, 'f', 0, 64))
	}
	s := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return groupThousands(s)
}

// groupThousands inserts commas into the integer part of a number.
func groupThousands(text string) string {
	whole, fraction, hasPoint := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if hasPoint {
		whole += "." + fraction
	}
	return sign + whole
}

// formatQuantity returns a value in its class's display unit as a number with a readable unit; NaN is "-".
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

// formatRange returns a range as low / likely / high, or as one value if the three are equal.
func formatRange(r Range, class string) string {
	if r.isConstant() || math.IsNaN(r.Low) && math.IsNaN(r.Likely) && math.IsNaN(r.High) {
		return formatQuantity(r.Likely, class)
	}
	return fmt.Sprintf("%s / %s / %s", formatQuantity(r.Low, class), formatQuantity(r.Likely, class), formatQuantity(r.High, class))
}
