package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"merlinpick/internal/faultlab/result"
)

// FileName is the name of the HTML page in a run's directory.
const FileName = "report.html"

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// HTML writes the page of a run into the run's directory. The page is a single file with all its charts,
// which can be viewed without a network. The file is replaced atomically.
func HTML(dir string, r *result.Result) error {
	page, err := newPage(r)
	if err != nil {
		return fmt.Errorf("HTML report of %s: %w", r.Title, err)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, page); err != nil {
		return fmt.Errorf("HTML report of %s: %w", r.Title, err)
	}
	path := filepath.Join(dir, FileName)
	if err := os.WriteFile(path+".part", out.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write the HTML report: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("write the HTML report: %w", err)
	}
	return nil
}
