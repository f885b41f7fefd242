package capacity

import (
	"strings"
	"testing"
	"testing/fstest"
)

const validSlope = `[[slope]]
name = "list.proxy.bytes"
role = "proxy following lists"
figure = "control bytes in"
unit = "B/s"
of = "proxies"
base = 10.0
per = 2.0
spread = [1.9, 2.1]
straight = true
points = [[100, 210.0, 205.0, 215.0], [200, 410.0, 400.0, 420.0], [300, 610.0, 595.0, 625.0]]
commit = "abcdef1"
machine = "8 cores, 24 GB"
command = "bin/merlinpick-faultlab run scale-30"
note = ""
`

// Every invalid slope is rejected with its file, the field and the reason.
func TestInvalidSlopesAreRejected(t *testing.T) {
	read := func(text string) error {
		_, err := ReadSlopes(fstest.MapFS{"slopes/a.toml": &fstest.MapFile{Data: []byte(text)}})
		return err
	}
	if err := read(validSlope); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":             {`note = ""`, `remark = ""`, "slope.remark: no such key"},
		"no command":              {`command = "bin/merlinpick-faultlab run scale-30"`, ``, "command is missing"},
		"empty command":           {`"bin/merlinpick-faultlab run scale-30"`, `" "`, "command: a text"},
		"no commit":               {`commit = "abcdef1"`, ``, "commit is missing"},
		"no commit's name":        {`"abcdef1"`, `"newest"`, "commit: "},
		"no machine":              {`machine = "8 cores, 24 GB"`, ``, "machine is missing"},
		"no base":                 {`base = 10.0`, ``, "base is missing"},
		"no points":               {`points = [[100, 210.0, 205.0, 215.0], [200, 410.0, 400.0, 420.0], [300, 610.0, 595.0, 625.0]]`, ``, "points is missing"},
		"two sizes":               {`[100, 210.0, 205.0, 215.0], `, ``, "points: 2;"},
		"a point without a range": {`[100, 210.0, 205.0, 215.0]`, `[100, 210.0]`, "the file"},
		"falling sizes":           {`[300, 610.0`, `[150, 610.0`, "points[3]: the sizes"},
		"median outside":          {`210.0, 205.0`, `210.0, 211.0`, "points[1]: "},
		"unknown role":            {`"proxy following lists"`, `"proxy"`, "role: "},
		"unknown unit":            {`"B/s"`, `"furlongs"`, "unit: "},
		"unknown growth":          {`of = "proxies"`, `of = "hopes"`, "of: "},
		"a name of one word":      {`"list.proxy.bytes"`, `"bytes"`, "name: "},
		"a slope off its points":  {`per = 2.0`, `per = 2.1`, "base and per: "},
		"a base off its points":   {`base = 10.0`, `base = 30.0`, "base and per: "},
		"a point off its slope":   {`[200, 410.0, 400.0, 420.0]`, `[200, 480.0, 400.0, 480.0]`, "base and per: "},
		"straight that is not":    {`straight = true`, `straight = false`, "straight: "},
		"no spread":               {`spread = [1.9, 2.1]`, `spread = [1.9]`, "spread: "},
		"a spread beyond points":  {`spread = [1.9, 2.1]`, `spread = [0.5, 2.1]`, "spread: "},
		"a spread without slope":  {`spread = [1.9, 2.1]`, `spread = [2.07, 2.1]`, "spread: "},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validSlope, c.old, c.new, 1)
			if text == validSlope {
				t.Fatal("the text to replace was not found")
			}
			err := read(text)
			if err == nil || !strings.Contains(err.Error(), "slopes/a.toml") ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
		})
	}
	if err := read(validSlope + "\n" + validSlope); err == nil ||
		!strings.Contains(err.Error(), "is also used in") {
		t.Errorf("a name that is recorded twice: %v", err)
	}
	nonlinear := strings.Replace(
		strings.Replace(validSlope, "610.0, 595.0, 625.0", "1010.0, 1000.0, 1020.0",
			1), "10.0\nper = 2.0\nspread = [1.9, 2.1]",
		"-256.67\nper = 4.0\nspread = [3.925, 4.075]", 1)
	if err := read(nonlinear); err == nil || !strings.Contains(err.Error(), "not within") {
		t.Errorf("a nonlinear slope that is declared straight: %v", err)
	}
	if err := read(strings.Replace(nonlinear, "straight = true", "straight = false", 1)); err != nil {
		t.Errorf("a nonlinear slope that is declared so: %v", err)
	}
}

// Invalid entries of numbers.toml and duties.toml are rejected with their file and key.
func TestInvalidInputsAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ file, old, new, want string }{
		"unknown key":       {"numbers.toml", "rack = 16", "racks = 16", "letter.racks: no such key"},
		"a number left out": {"numbers.toml", "machines = 5 ", "#", "letter.machines: "},
		"a number of 0":     {"numbers.toml", "zones = 9", "zones = 0", "letter.zones: "},
		"an unknown assumption": {"numbers.toml", `key = "lease_s"`, `key = "leases"`,
			`"leases" is not used by any calculation`},
		"an assumption left out": {"numbers.toml", `key = "lease_s"`, `key = "leases"`, `"lease_s" is missing`},
		"likely under low":       {"numbers.toml", "likely = 6\n", "likely = 0\n", "low <= likely"},
		"a budget's unit":        {"numbers.toml", `unit = "KB/s"`, `unit = "MB/s"`, "budget[1].unit"},
		"a budget's role":        {"numbers.toml", `role = "proxy following lists"`, `role = "proxies"`, "budget[1].role"},
		"a duty's role":          {"duties.toml", `role = "`, `role = "a `, "role: not one of"},
		"a duty's class":         {"duties.toml", `needs = ["`, `needs = ["a `, "is not a class"},
		"an unknown slope":       {"duties.toml", "decides = \"path.proxy.", "decides = \"path.proxies.", "decides: no slope"},
		"another duty's slope":   {"duties.toml", "decides = \"path.proxy.added_p99.66.calm", "decides = \"list.proxy.bytes", "decides: no slope"},
		"an unknown key":         {"duties.toml", "mechanism = ", "mechanisms = ", "no such key"},
	} {
		t.Run(name, func(t *testing.T) {
			files := capacityFiles(t)
			text := strings.Replace(string(files[c.file].Data), c.old, c.new, 1)
			if text == string(files[c.file].Data) {
				t.Fatal("the text to replace was not found")
			}
			files[c.file].Data = []byte(text)
			_, err := Read(files)
			if err == nil || !strings.Contains(err.Error(), c.file) ||
				!strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want one with %q", err, c.want)
			}
		})
	}
}
