package experiment

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

const whole = `title = "t"
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

func TestEachProblemIsReportedWithItsPlace(t *testing.T) {
	for _, test := range []struct {
		text string
		want []string // parts of the problems, in any order
	}{
		{whole, nil},
		{whole + "nonsense = 3\n", []string{"f:22: load.nonsense: unknown key"}},
		{strings.Replace(whole, "proxies = 2", "proxys = 2", 1), []string{"f:5: zone[1].proxys: unknown key", "zone: 0 proxies"}},
		{strings.Replace(whole, "speed = 1", "speed = -1", 1), []string{"f:9: zone[1].nodos[1].speed: has to be over 0"}},
		{strings.Replace(whole, `repeat = "idempotent"`, `repeat = "twice"`, 1), []string{"f:19: class[1].repeat: \"twice\" is none of"}},
		{whole + "[[fault]]\nkind = \"kil\"\nat = 1\n", []string{"f:23: fault[1].kind: \"kil\" is none of"}},
		{whole + "[[fault]]\nkind = \"kill\"\nat = 1\n[[fault]]\nkind = \"nodo_slow\"\nat = 11\nnodos = [\"a-s9\"]\n",
			[]string{"f:27: fault[2].at: 11 lies outside", "f:25: fault[2].factor: has to be over 0", "f:28: fault[2].nodos: no \"a-s9\""}},
		{whole + "[[fault]]\nkind = \"cut\"\nlink = \"wire\"\nnodos = [\"a-s1\"]\nto_zone = \"b\"\n",
			[]string{"f:24: fault[1].link", "f:26: fault[1].to_zone: no zone \"b\""}},
		{whole + "[[expect]]\nfigure = \"worth\"\nmin = 1.0\n[[expect]]\nfigure = \"p99_ms\"\nfrom = 2.0\nmax = 5.0\n",
			[]string{"f:23: expect[1].figure: \"worth\" is unknown", "f:27: expect[2].from: p99_ms is a figure of the whole run"}},
		{whole + "[[expect]]\nfigure = \"in_time.c\"\n", []string{"f:22: expect[1]: neither min nor max"}},
		{strings.Replace(whole, "[[0, 5]]", "[[0, 0], [10, 20000], [5, 1]]", 1), []string{"f:21: load.rate: point 3"}},
		{"seconds = 3000\n" + strings.Replace(strings.Replace(whole, "seconds = 10\n", "", 1), "[[0, 5]]", "[[0, 500]]", 1),
			[]string{"f:21: load.rate: 1500000 requests in all"}},
		{strings.Replace(whole, "seconds = 10", "seconds = ", 1), []string{"f:2:"}},
		{whole + "[fleet]\non = true\nlabel = \"\"\nseeds = 0\n", []string{"f:25: fleet.seeds: has to be over 0", "f:24: fleet.label: is empty"}},
		{whole + "[list]\nmembers = 2\n", []string{"f:23: list.members: 1, 3 or 5"}},
		{whole + "[[fault]]\nkind = \"member_kill\"\nat = 1\n", []string{"f:23: fault[1].kind: member_kill is for a list service"}},
		{whole + "[list]\nmembers = 3\n[[fault]]\nkind = \"list_down\"\nat = 1\n[[fault]]\nkind = \"member_cut\"\nmembers = [\"r4\"]\nat = 1\n",
			[]string{"f:25: fault[1].kind: list_down is for the stand-in", "f:29: fault[2].members: \"r4\" is none of leader, follower, r1, r2, r3"}},
		{whole + "[hollow]\nproxies = 3\nnodos = -1\nprocesses = 0\n", []string{"f:24: hollow.nodos: from 0 to 5000",
			"f:22: hollow: they follow the list service", "f:25: hollow.processes: from 1 to 64"}},
		{whole + "[list]\nmembers = 3\n[hollow]\nnodos = 3\n[[phase]]\nname = \"p\"\nfrom = 3\nto = 10\n" +
			"[[expect]]\nfigure = \"control.p.proxy.in_b\"\nmax = 1\n[[expect]]\nfigure = \"control.q.turned\"\nmax = 1\n" +
			"[[fault]]\nkind = \"hollow_die\"\nzone = \"a\"\nservice = 89\n[[fault]]\nkind = \"kill\"\ncount = 1\n",
			[]string{"f:28: phase[1].from: 3 to 10 is no span", "f:31: expect[1].figure: \"control.p.proxy.in_b\"",
				"f:34: expect[2].figure: \"control.q.turned\"", "f:38: fault[1].zone: no zone \"a\" of hollow nodos; there are a-a",
				"f:39: fault[1].service: from 1 to 88", "fault[2]: service and count are for faults of hollow nodos"}},
		{whole + "[list]\nmembers = 3\n[hollow]\nproxies = 3\nconfig_services = 2\n[[fault]]\nkind = \"config_put\"\nservice = 3\n" +
			"[[fault]]\nkind = \"config_put\"\ncount = 1\nshare = 0.5\n[[fault]]\nkind = \"hollow_die\"\nfaulty = true\n",
			[]string{"f:29: fault[1].service: from 1 to 2", "f:27: fault[1].count: from 1 to 10000, not 0", "f:30: fault[2]: share, zone and for have no meaning",
				"f:36: fault[3].faulty: is for config_put", "f:35: fault[3].kind: hollow_die needs hollow.nodos"}},
		{whole + "[[fault]]\nkind = \"config_put\"\ncount = 1\n", []string{"f:23: fault[1].kind: config_put needs hollow proxies that follow"}},
		{whole + "[[fault]]\nkind = \"hollow_replace\"\n", []string{"f:23: fault[1].kind: hollow_replace needs hollow.nodos"}},
		{"base = \"other.toml\"\n" + whole, []string{"f:1: base: file does not exist"}},
	} {
		_, err := Parse("f", test.text, noBase)
		if len(test.want) == 0 {
			if err != nil {
				t.Errorf("a whole file: %v", err)
			}
			continue
		}
		for _, want := range test.want {
			if err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("got:\n%v\nwant %q", err, want)
			}
		}
		if n := len(strings.Split(fmt.Sprint(err), "\n")); n > len(test.want) {
			t.Errorf("got %d problems, want %d:\n%v", n, len(test.want), err)
		}
	}
}

// A file's lists replace its base's; its other keys are laid over them.
func TestBase(t *testing.T) {
	text := "base = \"b\"\nseconds = 7\n[clients]\nretries = 1\n[[fault]]\nkind = \"kill\"\nat = 1\n"
	open := func(name string) ([]byte, error) {
		if name != "b" {
			return nil, errors.New(name)
		}
		return []byte(whole + "[clients]\nwait_ms = 50\n[[fault]]\nkind = \"stop\"\nat = 1\nfor = 3\n"), nil
	}
	exp, err := Parse("f", text, open)
	if err != nil {
		t.Fatal(err)
	}
	if exp.Seconds != 7 || exp.Title != "t" || exp.Clients.Retries != 1 || exp.Clients.WaitMs != 50 || len(exp.Zones) != 1 {
		t.Errorf("laid over wrongly: %+v", exp)
	}
	if len(exp.Faults) != 1 || exp.Faults[0].Kind != "kill" || exp.Faults[0].Duration != 0 {
		t.Errorf("the base's faults are mixed in: %+v", exp.Faults)
	}
}
