package balancer

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// functions returns the names of the functions of a Go file: F, or T.F for a method.
func functions(t *testing.T, path string) (names []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range file.Decls {
		f, ok := d.(*ast.FuncDecl)
		if !ok {
			continue
		}
		name := f.Name.Name
		if f.Recv != nil {
			of := f.Recv.List[0].Type
			if star, ok := of.(*ast.StarExpr); ok {
				of = star.X
			}
			name = of.(*ast.Ident).Name + "." + name
		}
		names = append(names, name)
	}
	return names
}

// TestEachFunctionOutsidePolicyHasARow checks docs/policy.md against the code. The page must have at least
// one rule for each file that deploy/balancer.toml lists under policy. For each function of the three packages
// that is in another file it must have a row that says why the function is no decision, or that it is one. No
// function may have two entries, and no entry may name a function that does not exist.
func TestEachFunctionOutsidePolicyHasARow(t *testing.T) {
	read := func(path string) string {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*?)\]`).FindStringSubmatch(read("../deploy/balancer.toml"))
	if list == nil {
		t.Fatal("deploy/balancer.toml has no list policy")
	}
	page := read("../docs/policy.md")
	rows := map[string]int{}  // of functions outside policy, by file and function
	rules := map[string]int{} // by file and function
	for _, m := range regexp.MustCompile(`(?m)^\| (\w+\.go) \| ([\w.]+) \|(?:[^|]+\|){2}$`).FindAllStringSubmatch(page, -1) {
		rows[m[1]+" "+m[2]]++
	}
	for _, m := range regexp.MustCompile(`(?m)^\| (\w+\.go) \| ([\w.]+) \|(?:[^|]+\|){4}$`).FindAllStringSubmatch(page, -1) {
		rules[m[1]+" "+m[2]]++
	}
	for _, dir := range []string{"../balancer", "../internal/cpushare", "../internal/tailweights"} {
		paths, _ := filepath.Glob(dir + "/*.go")
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") {
				continue
			}
			decides := strings.Contains(list[1], `"`+strings.TrimPrefix(path, "../")+`"`)
			inFile := 0
			for _, f := range functions(t, path) {
				row := filepath.Base(path) + " " + f
				if n := rows[row] + rules[row]; n > 1 || n == 0 && !decides || rules[row] > 0 && !decides {
					t.Errorf("%s: function %s has %d rows and %d rules in docs/policy.md",
						path, f, rows[row], rules[row])
				}
				inFile += rules[row]
				delete(rows, row)
				delete(rules, row)
			}
			if decides && inFile == 0 {
				t.Errorf("%s is listed under policy but has no rule in docs/policy.md", path)
			}
		}
	}
	for _, left := range []map[string]int{rows, rules} {
		for row := range left {
			t.Errorf("docs/policy.md has an entry for %s, which does not exist", row)
		}
	}
}
