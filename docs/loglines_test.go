package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// logMethods maps the methods of slog.Logger that log a line to the index of the message among their
// arguments.
var logMethods = map[string]int{"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "DebugContext": 1, "InfoContext": 1,
	"WarnContext": 1, "ErrorContext": 1, "Log": 2, "LogAttrs": 2}

// logMessages returns the log messages that a file contains as string literals: the arguments of a logger's
// methods, and the results of methods named Message.
func logMessages(file *ast.File) (messages []string) {
	add := func(e ast.Expr) {
		if text, ok := e.(*ast.BasicLit); ok && text.Kind == token.STRING {
			if message, err := strconv.Unquote(text.Value); err == nil {
				messages = append(messages, message)
			}
		}
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.CallExpr:
			method, ok := n.Fun.(*ast.SelectorExpr)
			if !ok {
				break
			}
			messageIndex, ok := logMethods[method.Sel.Name]
			if ok && isLogger(method.X) && len(n.Args) > messageIndex {
				add(n.Args[messageIndex])
			}
		case *ast.FuncDecl:
			if n.Recv != nil && n.Name.Name == "Message" && n.Body != nil {
				ast.Inspect(n.Body, func(inner ast.Node) bool {
					if result, ok := inner.(*ast.ReturnStmt); ok && len(result.Results) == 1 {
						add(result.Results[0])
					}
					return true
				})
			}
		}
		return true
	})
	return messages
}

// isLogger reports whether the last identifier of an expression is the name of a logger.
func isLogger(e ast.Expr) bool {
	switch e := e.(type) {
	case *ast.Ident:
		return strings.HasSuffix(strings.ToLower(e.Name), "log") || strings.HasSuffix(strings.ToLower(e.Name), "logger")
	case *ast.SelectorExpr:
		return isLogger(e.Sel)
	}
	return false
}

// TestEachLogLineHasARow checks that each log message of the programs that run in production has a row in
// oncall.md, with its meaning and the first action, and that each row belongs to a message.
func TestEachLogLineHasARow(t *testing.T) {
	page, err := os.ReadFile("oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	_, tables, found := strings.Cut(string(page), "## Log lines\n")
	if !found {
		t.Fatal("oncall.md has no section with the title Log lines")
	}
	rows := map[string]bool{} // by log message; true once the message was found in the code
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| [^|]* \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(tables, -1) {
		rows[m[1]] = false
	}
	lines := 0
	// All string literals of the programs, since some messages reach the logger through a variable.
	literals := map[string]bool{}
	for _, dir := range []string{"../balancer", "../internal", "../cmd"} {
		err := filepath.WalkDir(dir, func(path string, entry os.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && strings.HasSuffix(entry.Name(), "faultlab") {
				return filepath.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if text, ok := n.(*ast.BasicLit); ok && text.Kind == token.STRING {
					if literal, err := strconv.Unquote(text.Value); err == nil {
						literals[literal] = true
					}
				}
				return true
			})
			for _, message := range logMessages(file) {
				lines++
				if _, ok := rows[message]; !ok {
					t.Errorf("%s: log message %q has no row in oncall.md", path, message)
				}
				rows[message] = true
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for message, isLogged := range rows {
		if !isLogged && !literals[message] {
			t.Errorf("oncall.md has a row for the log message %q, which no program logs", message)
		}
	}
	if lines < 50 {
		t.Errorf("found only %d log messages in the code, want at least 50", lines)
	}
}
