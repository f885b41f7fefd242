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

// Every invalid entry is rejected with its file, its name and the reason.
func TestInvalidSlopesAreRejected(t *testing.T) {
	read := func(text string) error {
		_, err := ReadSlopes(fstest.MapFS{"slopes/a.toml": &fstest.MapFile{Data: []byte(text)}})
		return err
	}
	if err := read(validSlope); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ was, is, says string }{
		"unknown key":             {`note = ""`, `remark = ""`, "slope.remark: no such key"},
		"no command":              {`command = "bin/merlinpick-faultlab run scale-30"`, ``, "command is missing"},
		"empty command":           {`"bin/merlinpick-faultlab run scale-30"`, `" "`, "command: a word"},
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
			text := strings.Replace(validSlope, c.was, c.is, 1)
			if text == validSlope {
				t.Fatal("nothing was changed")
			}
			err := read(text)
			if err == nil || !strings.Contains(err.Error(), "slopes/a.toml") || !strings.Contains(err.Error(), c.says) {
				t.Errorf("%v, which does not say %q", err, c.says)
			}
		})
	}
	if err := read(validSlope + "\n" + validSlope); err == nil || !strings.Contains(err.Error(), "stands in") {
		t.Errorf("a name twice: %v", err)
	}
	bent := strings.Replace(strings.Replace(validSlope, "610.0, 595.0, 625.0", "1010.0, 1000.0, 1020.0", 1), "10.0\nper = 2.0\nspread = [1.9, 2.1]",
		"-256.67\nper = 4.0\nspread = [3.925, 4.075]", 1)
	if err := read(bent); err == nil || !strings.Contains(err.Error(), "not within") {
		t.Errorf("a bent one that is called straight: %v", err)
	}
	if err := read(strings.Replace(bent, "straight = true", "straight = false", 1)); err != nil {
		t.Errorf("a bent one: %v", err)
	}
}

// Invalid numbers and duties are rejected with their key.
func TestInvalidInputsAreRejected(t *testing.T) {
	for name, c := range map[string]struct{ file, was, is, says string }{
		"unknown key":            {"numbers.toml", "rack = 16", "racks = 16", "letter.racks: no such key"},
		"a number left out":      {"numbers.toml", "machines = 5 ", "#", "letter.machines: "},
		"a number of 0":          {"numbers.toml", "zones = 9", "zones = 0", "letter.zones: "},
		"an unknown assumption":  {"numbers.toml", `key = "lease_s"`, `key = "leases"`, `"leases" is used nowhere`},
		"an assumption left out": {"numbers.toml", `key = "lease_s"`, `key = "leases"`, `"lease_s" is missing`},
		"likely under low":       {"numbers.toml", "likely = 6\n", "likely = 0\n", "low <= likely"},
		"a budget's unit":        {"numbers.toml", `unit = "KB/s"`, `unit = "MB/s"`, "budget[1].unit"},
		"a budget's role":        {"numbers.toml", `role = "proxy following lists"`, `role = "proxies"`, "budget[1].role"},
		"a duty's role":          {"duties.toml", `role = "`, `role = "a `, "role: none of"},
		"a duty's class":         {"duties.toml", `needs = ["`, `needs = ["a `, "is no class"},
		"an unknown slope":       {"duties.toml", "decides = \"path.proxy.", "decides = \"path.proxies.", "decides: no slope"},
		"another duty's slope":   {"duties.toml", "decides = \"path.proxy.added_p99.66.calm", "decides = \"list.proxy.bytes", "decides: no slope"},
		"an unknown key":         {"duties.toml", "mechanism = ", "mechanisms = ", "no such key"},
	} {
		t.Run(name, func(t *testing.T) {
			files := capacityFiles(t)
			text := strings.Replace(string(files[c.file].Data), c.was, c.is, 1)
			if text == string(files[c.file].Data) {
				t.Fatal("nothing was changed")
			}
			files[c.file].Data = []byte(text)
			_, err := Read(files)
			if err == nil || !strings.Contains(err.Error(), c.file) || !strings.Contains(err.Error(), c.says) {
				t.Errorf("%v, which does not say %q", err, c.says)
			}
		})
	}
}
