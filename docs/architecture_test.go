// Package docs holds tests that check the pages of the documentation against the code.
package docs

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const module = "merlinpick/" // prefix of the import paths of this module

// layer is a row of the table of imports in ARCHITECTURE.md.
type layer struct {
	name      string
	packages  []string // packages in order; each may import those before it
	mayImport []string // names of the other layers whose packages may be imported
}

// position finds the entry of a package in the layer. An entry that ends with /... matches all packages below
// that directory; these may import each other in any order, and ordered is false.
func (l layer) position(pkg string) (index int, ordered, found bool) {
	for i, p := range l.packages {
		if tree, isTree := strings.CutSuffix(p, "/..."); isTree && strings.HasPrefix(pkg, tree+"/") {
			return i, false, true
		}
		if p == pkg {
			return i, true, true
		}
	}
	return 0, false, false
}

// readLayers reads the table of imports in ARCHITECTURE.md.
func readLayers(t *testing.T) (layers []layer) {
	t.Helper()
	text, err := os.ReadFile("ARCHITECTURE.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "| row | packages, in order | may import |\n| --- | --- | --- |\n")
	if !found {
		t.Fatal("ARCHITECTURE.md has no table of imports with the expected header")
	}
	quoted := regexp.MustCompile("`([^`]+)`")
	for line := range strings.Lines(table) {
		cells := strings.Split(strings.TrimSpace(line), "|")
		if len(cells) != 5 {
			break
		}
		l := layer{name: strings.TrimSpace(cells[1])}
		for _, m := range quoted.FindAllStringSubmatch(cells[2], -1) {
			l.packages = append(l.packages, m[1])
		}
		for name := range strings.SplitSeq(cells[3], ",") {
			if name = strings.TrimSpace(name); name != "" {
				l.mayImport = append(l.mayImport, name)
			}
		}
		layers = append(layers, l)
	}
	return layers
}

// moduleImports returns, for each package of this module, the packages of this module that it imports.
// Imports by tests are left out.
func moduleImports(t *testing.T) map[string][]string {
	t.Helper()
	imports := map[string][]string{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != ".." && strings.HasPrefix(entry.Name(), ".") || entry.IsDir() && entry.Name() == "testdata" {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		pkg, err := filepath.Rel("..", filepath.Dir(path))
		if err != nil {
			return err
		}
		pkg = filepath.ToSlash(pkg)
		if imports[pkg] == nil {
			imports[pkg] = []string{}
		}
		for _, spec := range file.Imports {
			if imported, ok := strings.CutPrefix(strings.Trim(spec.Path.Value, `"`), module); ok {
				imports[pkg] = append(imports[pkg], imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return imports
}

// TestImportsFollowThePage checks that packages import only what the table in ARCHITECTURE.md allows, and
// that each package of the module is in the table and the reverse.
func TestImportsFollowThePage(t *testing.T) {
	layers := readLayers(t)
	find := func(pkg string) int {
		return slices.IndexFunc(layers, func(l layer) bool { _, _, found := l.position(pkg); return found })
	}
	imports := moduleImports(t)
	for pkg, imported := range imports {
		from := find(pkg)
		if from < 0 {
			t.Errorf("package %s is in no row of the table in ARCHITECTURE.md", pkg)
			continue
		}
		for _, other := range imported {
			to := find(other)
			switch {
			case to < 0:
				t.Errorf("%s imports %s, which is in no row of the table in ARCHITECTURE.md", pkg, other)
			case from == to:
				here, ordered, _ := layers[from].position(pkg)
				there, _, _ := layers[from].position(other)
				if there > here || ordered && there == here {
					t.Errorf("%s imports %s, which is not before it in row %s of the table", pkg, other,
						layers[from].name)
				}
			case !slices.Contains(layers[from].mayImport, layers[to].name):
				t.Errorf("%s (row %s) imports %s (row %s), which ARCHITECTURE.md does not allow",
					pkg, layers[from].name, other, layers[to].name)
			}
		}
	}
	for _, l := range layers {
		for _, p := range l.packages {
			if _, isTree := strings.CutSuffix(p, "/..."); !isTree && imports[p] == nil {
				t.Errorf("row %s of the table in ARCHITECTURE.md lists %s, which does not exist", l.name, p)
			}
		}
	}
}
