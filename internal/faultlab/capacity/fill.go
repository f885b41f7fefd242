package capacity

import (
	"fmt"
	"strings"
)

// The lines that mark a generated table on the page: tableStart, its name and markerEnd; tableEnd.
const (
	tableStart = "<!-- computed: "
	markerEnd  = " -->"
	tableEnd   = "<!-- end of computed -->"
)

// FillTables replaces the text between the page's markers with the tables. It returns a PageError unless the
// page marks each table exactly once and no others.
func FillTables(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	seen := map[string]bool{}
	open := "" // the table whose end marker is next; empty: none
	for i, line := range strings.SplitAfter(page, "\n") {
		text := strings.TrimSpace(line)
		name, isStart := strings.CutPrefix(text, tableStart)
		switch {
		case isStart:
			name = strings.TrimSuffix(name, markerEnd)
			table, ok := tables[name]
			if open != "" || !ok || seen[name] {
				return "", &PageError{Line: i + 1, Table: name, Reason: "unknown, marked twice or within another; mark each table once"}
			}
			open, seen[name] = name, true
			out.WriteString(line + table)
		case text == tableEnd:
			if open == "" {
				return "", &PageError{Line: i + 1, Reason: "an end marker without a start; remove it or add the start"}
			}
			open = ""
			out.WriteString(line)
		case open == "":
			out.WriteString(line)
		}
	}
	if open != "" {
		return "", &PageError{Table: open, Reason: "has no end marker; add " + tableEnd}
	}
	for name := range tables {
		if !seen[name] {
			return "", &PageError{Table: name, Reason: "is not on the page; add its markers"}
		}
	}
	return out.String(), nil
}

// FirstDifference describes the first line in which a page differs from its filled form; empty if none does.
func FirstDifference(page, filled string) string {
	pageLines, filledLines := strings.Split(page, "\n"), strings.Split(filled, "\n")
	lineAt := func(lines []string, i int) string {
		if i < len(lines) {
			return lines[i]
		}
		return "(no line)"
	}
	for i := range max(len(pageLines), len(filledLines)) {
		if has, want := lineAt(pageLines, i), lineAt(filledLines, i); has != want {
			return fmt.Sprintf("line %d:\n  on the page:  %s\n  calculated:   %s", i+1, has, want)
		}
	}
	return ""
}
