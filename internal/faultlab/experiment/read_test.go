package experiment

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

// valid is a valid experiment file.
const valid = `title = "t"
seconds = 10
[[zone]]
name = "a"
proxies = 2
traffic = 1
[[zone.nodos]]
count = 2
speed = 1
slots = 1
queue = 4
[[class]]
name = "c"
share = 1
work_ms = [1, 2]
aim_ms = 10
give_up_ms = 20
worth = 1
repeat = "idempotent"
[load]
rate = [[0, 5]]
`

func noBase(string) ([]byte, error) { return nil, os.ErrNotExist }

// Read reports all problems of a file, each with its line and key.
func TestEachProblemIsReportedWithItsPlace(t *testing.T) {
	for _, test := range []struct {
		text string
		want []string // parts of the problems, in any order
	}{
		{valid, nil},
		{valid + "nonsense = 3\n", []string{"f:22: load.nonsense: unknown key"}},
		{strings.Replace(valid, "proxies = 2", "proxys = 2", 1),
			[]string{"f:5: zone[1].proxys: unknown key", "zone: there are 0 proxies"}},
		{strings.Replace(valid, "speed = 1", "speed = -1", 1),
			[]string{"f:9: zone[1].nodos[1].speed: must be greater than 0"}},
		{strings.Replace(valid, `repeat = "idempotent"`, `repeat = "twice"`, 1),
			[]string{"f:19: class[1].repeat: \"twice\" is not one of"}},
		{valid + "[[fault]]\nkind = \"kil\"\nat = 1\n",
			[]string{"f:23: fault[1].kind: \"kil\" is not one of"}},
		{valid + "[[fault]]\nkind = \"kill\"\nat = 1\n" +
			"[[fault]]\nkind = \"nodo_slow\"\nat = 11\nnodos = [\"a-s9\"]\n",
			[]string{"f:27: fault[2].at: 11 is outside", "f:25: fault[2].factor: must be greater than 0",
				"f:28: fault[2].nodos: there is no \"a-s9\""}},
		{valid + "[[fault]]\nkind = \"cut\"\nlink = \"wire\"\nnodos = [\"a-s1\"]\nto_zone = \"b\"\n",
			[]string{"f:24: fault[1].link", "f:26: fault[1].to_zone: there is no zone \"b\""}},
		{valid + "[[expect]]\nfigure = \"worth\"\nmin = 1.0\n" +
			"[[expect]]\nfigure = \"p99_ms\"\nfrom = 2.0\nmax = 5.0\n",
			[]string{"f:23: expect[1].figure: \"worth\" is unknown",
				"f:27: expect[2].from: p99_ms is a figure of the whole run"}},
		{valid + "[[expect]]\nfigure = \"in_time.c\"\n",
			[]string{"f:22: expect[1]: has neither min nor max"}},
		{strings.Replace(valid, "[[0, 5]]", "[[0, 0], [10, 20000], [5, 1]]", 1),
			[]string{"f:21: load.rate: point 3"}},
		{"seconds = 3000\n" + strings.Replace(strings.Replace(valid, "seconds = 10\n", "", 1),
			"[[0, 5]]", "[[0, 500]]", 1),
			[]string{"f:21: load.rate: 1500000 requests in all"}},
		{strings.Replace(valid, "seconds = 10", "seconds = ", 1), []string{"f:2:"}},
		{valid + "[fleet]\non = true\nlabel = \"\"\nseeds = 0\n",
			[]string{"f:25: fleet.seeds: must be greater than 0", "f:24: fleet.label: must not be empty"}},
		{valid + "[list]\nmembers = 2\n", []string{"f:23: list.members: must be 1, 3 or 5"}},
		{valid + "[[fault]]\nkind = \"member_kill\"\nat = 1\n",
			[]string{"f:23: fault[1].kind: member_kill needs a list service"}},
		{valid + "[list]\nmembers = 3\n[[fault]]\nkind = \"list_down\"\nat = 1\n" +
			"[[fault]]\nkind = \"member_cut\"\nmembers = [\"r4\"]\nat = 1\n",
			[]string{"f:25: fault[1].kind: list_down is only for the lab's catalog",
				"f:29: fault[2].members: \"r4\" is not one of leader, follower, r1, r2, r3"}},
		{valid + "[hollow]\nproxies = 3\nnodos = -1\nprocesses = 0\n",
			[]string{"f:24: hollow.nodos: must be from 0 to 5000",
				"f:22: hollow: hollow proxies and nodos need the list service",
				"f:25: hollow.processes: must be from 1 to 64"}},
		{valid + "[list]\nmembers = 3\n[hollow]\nnodos = 3\n[[phase]]\nname = \"p\"\nfrom = 3\nto = 10\n" +
			"[[expect]]\nfigure = \"control.p.proxy.in_b\"\nmax = 1\n[[expect]]\nfigure = \"control.q.turned\"\nmax = 1\n" +
			"[[fault]]\nkind = \"hollow_die\"\nzone = \"a\"\nservice = 89\n[[fault]]\nkind = \"kill\"\ncount = 1\n",
			[]string{"f:28: phase[1].from: 3 to 10 is not a span",
				"f:31: expect[1].figure: \"control.p.proxy.in_b\"",
				"f:34: expect[2].figure: \"control.q.turned\"",
				"f:38: fault[1].zone: there is no zone \"a\" of hollow nodos; their zones are a-a",
				"f:39: fault[1].service: must be from 1 to 88",
				"fault[2]: service and count are only for faults of hollow nodos"}},
		{valid + "[list]\nmembers = 3\n[hollow]\nproxies = 3\nconfig_services = 2\n" +
			"[[fault]]\nkind = \"config_put\"\nservice = 3\n" +
			"[[fault]]\nkind = \"config_put\"\ncount = 1\nshare = 0.5\n[[fault]]\nkind = \"hollow_die\"\nfaulty = true\n",
			[]string{"f:29: fault[1].service: must be from 1 to 2",
				"f:27: fault[1].count: must be from 1 to 10000, not 0",
				"f:30: fault[2]: share, zone and for cannot be used",
				"f:36: fault[3].faulty: is only for config_put",
				"f:35: fault[3].kind: hollow_die needs hollow.nodos"}},
		{valid + "[[fault]]\nkind = \"config_put\"\ncount = 1\n",
			[]string{"f:23: fault[1].kind: config_put needs hollow proxies that follow"}},
		{valid + "[[fault]]\nkind = \"hollow_replace\"\n",
			[]string{"f:23: fault[1].kind: hollow_replace needs hollow.nodos"}},
		{"base = \"other.toml\"\n" + valid, []string{"f:1: base: file does not exist"}},
	} {
		_, err := Parse("f", test.text, noBase)
		if len(test.want) == 0 {
			if err != nil {
				t.Errorf("got problems in a valid file: %v", err)
			}
			continue
		}
		for _, want := range test.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got problems:\n%v\nwant %q among them", err, want)
			}
		}
		if n := len(strings.Split(fmt.Sprint(err), "\n")); n > len(test.want) {
			t.Errorf("got %d problems, want %d:\n%v", n, len(test.want), err)
		}
	}
}

// The lists of a file replace those of its base file, and its other keys override those of the base file.
func TestBase(t *testing.T) {
	text := "base = \"b\"\nseconds = 7\n[clients]\nretries = 1\n[[fault]]\nkind = \"kill\"\nat = 1\n"
	open := func(name string) ([]byte, error) {
		if name != "b" {
			return nil, errors.New(name)
		}
		return []byte(valid + "[clients]\nwait_ms = 50\n[[fault]]\nkind = \"stop\"\nat = 1\nfor = 3\n"), nil
	}
	exp, err := Parse("f", text, open)
	if err != nil {
		t.Fatal(err)
	}
	if exp.Seconds != 7 || exp.Title != "t" || exp.Clients.Retries != 1 || exp.Clients.WaitMs != 50 || len(exp.Zones) != 1 {
		t.Errorf("the file's keys were not merged with those of its base: %+v", exp)
	}
	if len(exp.Faults) != 1 || exp.Faults[0].Kind != "kill" || exp.Faults[0].Duration != 0 {
		t.Errorf("the file's faults did not replace those of its base: %+v", exp.Faults)
	}
}
