package capacity

import (
	"flag"
	"io/fs"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/fstest"

	"merlinpick/internal/discovery"
	"merlinpick/internal/registry/config"
	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
	"merlinpick/internal/settings"
)

var update = flag.Bool("update", false, "rewrite the tables of docs/CAPACITY.md")

const (
	capacityDir = "../../../docs/capacity"
	pagePath    = "../../../docs/CAPACITY.md"
)

// capacityFiles returns a copy of docs/capacity that a test may change.
func capacityFiles(t *testing.T) fstest.MapFS {
	t.Helper()
	files := fstest.MapFS{}
	err := filepath.WalkDir(capacityDir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := os.ReadFile(path)
		name, _ := filepath.Rel(capacityDir, path)
		files[filepath.ToSlash(name)] = &fstest.MapFile{Data: text}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// pageDifference describes the first difference of a page from the model of these files; empty if there is none.
func pageDifference(t *testing.T, files fs.FS, text string) string {
	t.Helper()
	model, err := Read(files)
	if err != nil {
		t.Fatal(err)
	}
	tables, err := model.Tables()
	if err != nil {
		t.Fatal(err)
	}
	filled, err := FillTables(text, tables)
	if err != nil {
		t.Fatal(err)
	}
	return FirstDifference(text, filled)
}

// The tables of docs/CAPACITY.md are those of docs/capacity. With -update they are rewritten.
func TestPageMatchesModel(t *testing.T) {
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		model, err := Read(os.DirFS(capacityDir))
		if err != nil {
			t.Fatal(err)
		}
		tables, err := model.Tables()
		if err != nil {
			t.Fatal(err)
		}
		filled, err := FillTables(string(text), tables)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(pagePath, []byte(filled), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if at := pageDifference(t, os.DirFS(capacityDir), string(text)); at != "" {
		t.Errorf("docs/CAPACITY.md differs from docs/capacity at %s\n"+
			"(go test ./internal/faultlab/capacity -update rewrites its tables)", at)
	}
}

// The page names the first gap of its list as the first one now, and as the first one of an earlier commit a
// duty that is implemented by now.
func TestPageNamesFirstGap(t *testing.T) {
	model, err := Read(os.DirFS(capacityDir))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	const then, now = "\nMissing first, at 7605898: **", "\nMissing first now: **"
	statedIn := func(line string) string {
		_, rest, ok := strings.Cut(string(text), line)
		what, _, ok2 := strings.Cut(rest, "**")
		if !ok || !ok2 || strings.Contains(rest, line) {
			t.Errorf("the page must have exactly one line that begins %q", line)
		}
		return what
	}
	want := "nothing"
	gaps := model.Gaps()
	if len(gaps) > 0 {
		want = gaps[0].Title
	}
	if stated := statedIn(now); stated != want {
		t.Errorf("the gaps are %+v, but the page names %q as the first one now", gaps, stated)
	}
	stated := statedIn(then)
	if !slices.ContainsFunc(model.Duties,
		func(d Duty) bool { return d.Description == stated && d.AbsentReason == "" }) {
		t.Errorf("the page has %q as a former first gap, but no implemented duty has that name", stated)
	}
}

// A change of a single number, slope or cell makes the page differ from the model, or is rejected.
func TestSingleChangeIsDetected(t *testing.T) {
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if at := pageDifference(t, capacityFiles(t), string(text)); at != "" {
		t.Fatal("the page differs from the model before any change: ", at)
	}
	// change replaces the first occurrence of a text in a file.
	change := func(t *testing.T, files fstest.MapFS, name, old, new string) {
		t.Helper()
		f := files[name]
		if !strings.Contains(string(f.Data), old) {
			t.Fatalf("%s does not contain %q", name, old)
		}
		f.Data = []byte(strings.Replace(string(f.Data), old, new, 1))
	}
	t.Run("a number of the target size", func(t *testing.T) {
		files := capacityFiles(t)
		change(t, files, "numbers.toml", "nodos = 1300 ", "nodos = 1301 ")
		if pageDifference(t, files, string(text)) == "" {
			t.Error("the change was not detected")
		}
	})
	t.Run("an assumption", func(t *testing.T) {
		files := capacityFiles(t)
		change(t, files, "numbers.toml", "high = 30\nwhy = \"nodos choose", "high = 31\nwhy = \"nodos choose")
		if pageDifference(t, files, string(text)) == "" {
			t.Error("the change was not detected")
		}
	})
	t.Run("a budget", func(t *testing.T) {
		files := capacityFiles(t)
		change(t, files, "numbers.toml", "value = 19.0", "value = 19.5")
		if pageDifference(t, files, string(text)) == "" {
			t.Error("the change was not detected")
		}
	})
	names, err := slopeFiles(capacityFiles(t))
	if err != nil || len(names) == 0 {
		t.Fatal("no slopes", err)
	}
	for _, name := range names {
		t.Run("a slope of "+name, func(t *testing.T) {
			slopes, err := ReadSlopes(capacityFiles(t))
			if err != nil {
				t.Fatal(err)
			}
			for _, s := range slopes {
				if s.File != name {
					continue
				}
				// Changed in one field, the slope is rejected. Changed in all fields, as by a new run, the page differs.
				alone := *s
				alone.Gradient = s.Gradient*1.2 + 1
				if alone.Check() == nil {
					t.Errorf("%s: a slope that does not fit its points is accepted", s.Name)
				}
				// Three times the rounding tolerance is rejected too.
				for _, part := range []float64{-3, 3} {
					_, ys, _, _ := columns(s.Points)
					top := math.Max(slices.Max(ys), -slices.Min(ys))
					alone = *s
					alone.Gradient = s.Gradient + part*roundingTolerance*top/s.Points[len(s.Points)-1][0]
					if alone.Check() == nil {
						t.Errorf("%s: a slope that is off its points by %v times the tolerance is accepted",
							s.Name, part)
					}
				}
				var runs [3][]float64
				var sizes []float64
				for _, p := range s.Points {
					sizes = append(sizes, p[0])
					for r, v := range []float64{p[1], p[2], p[3]} {
						runs[r] = append(runs[r], 1.5*v+1)
					}
				}
				whole := *s
				whole.Fit(sizes, runs[:])
				files := capacityFiles(t)
				var out strings.Builder
				for _, o := range slopes {
					if o.File == name {
						if o.Name == s.Name {
							o = &whole
						}
						out.WriteString(o.String() + "\n")
					}
				}
				files[name].Data = []byte(out.String())
				if pageDifference(t, files, string(text)) == "" {
					t.Errorf("%s: the change of the slope was not detected", s.Name)
				}
			}
		})
	}
	t.Run("a cell", func(t *testing.T) {
		model, err := Read(os.DirFS(capacityDir))
		if err != nil {
			t.Fatal(err)
		}
		tables, err := model.Tables()
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(text), "\n")
		cells, inside := 0, false
		for i, l := range lines {
			if strings.HasPrefix(l, tableStart) || l == tableEnd {
				inside = l != tableEnd
				continue
			}
			at := strings.IndexAny(l, "0123456789")
			if !inside || at < 0 {
				continue
			}
			cells++
			changed := []byte(l)
			changed[at] = '0' + (changed[at]-'0'+1)%10
			lines[i] = string(changed)
			damaged := strings.Join(lines, "\n")
			if filled, err := FillTables(damaged, tables); err != nil || FirstDifference(damaged, filled) == "" {
				t.Errorf("line %d: the change was not detected: %s", i+1, changed)
			}
			lines[i] = l
		}
		if cells < 40 {
			t.Errorf("only %d table lines have a number, want at least 40", cells)
		}
	})
}

// programConstants equal the program's constants. Unexported ones are compared with the program's source
// text.
func TestProgramConstants(t *testing.T) {
	c := config.Default()
	for key, is := range map[string]float64{"hold_s": discovery.LongPollTimeout.Seconds(), "spread_s": discovery.FailoverJitter.Seconds(),
		"poll_s": raftnode.FreshnessInterval.Seconds(), "settle_s": watch.CoalesceInterval.Seconds(), "stale_s": float64(c.MaxListAgeMs) / 1000,
		"lease_part": c.Lease.HoldThreshold, "lease_pace": c.Lease.ReleaseRate, "changes_kept": state.MaxRetainedChanges, "document_most": settings.MaxDocumentBytes} {
		if programConstants[key] != is {
			t.Errorf("%s: %v here, %v in the program", key, programConstants[key], is)
		}
	}
	for file, lines := range map[string][]string{
		"internal/discovery/registry.go":           {"maxRegistryBackoff = 5 * time.Second"},
		"internal/registry/raftnode/node.go":       {"leaseSweepInterval = 100 * time.Millisecond"},
		"internal/registry/registrar/registrar.go": {"initialBackoff = 50 * time.Millisecond", "maxBackoff = 400 * time.Millisecond", "renewalsPerLease = 3 "},
	} {
		text, err := os.ReadFile("../../../" + file)
		if err != nil {
			t.Fatal(err)
		}
		for _, l := range lines {
			if !strings.Contains(strings.Join(strings.Fields(string(text)), " "), l) {
				t.Errorf("%s no longer contains %q", file, l)
			}
		}
	}
}

// A page that lacks a table, marks one twice or has a marker without its counterpart is rejected.
func TestFillTables(t *testing.T) {
	tables := map[string]string{"a": "| 1 |\n"}
	whole := tableStart + "a" + markerEnd + "\n| 0 |\n" + tableEnd + "\nrest\n"
	if got, err := FillTables(whole, tables); err != nil || got != tableStart+"a"+markerEnd+"\n| 1 |\n"+tableEnd+"\nrest\n" {
		t.Errorf("%q, %v", got, err)
	}
	for name, text := range map[string]string{"none": "rest\n", "twice": whole + whole, "unknown": strings.Replace(whole, "a"+markerEnd, "b"+markerEnd, 1),
		"no end": strings.Replace(whole, tableEnd, "", 1), "no beginning": tableEnd + "\n" + whole} {
		if _, err := FillTables(text, tables); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
