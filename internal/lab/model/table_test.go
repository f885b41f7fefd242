package model

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
)

var (
	table      = flag.Bool("model.table", false, "print the tables of docs/fleet.md")
	tableSeeds = flag.Int("model.seeds", 7, "seeds of each row")
)

// spread is the median of some figures and their range.
func spreadOf(x []float64, format string) string {
	slices.Sort(x)
	return fmt.Sprintf(format+" ("+format+"-"+format+")", x[len(x)/2], x[0], x[len(x)-1])
}

// TestOffAndOn prints each case without peers and with them, on the same seeds.
func TestOffAndOn(t *testing.T) {
	if !*table {
		t.Skip("-model.table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "case\tpeers\tworth in time, 10 s\tto the end\tfailed, unanswered %\tresent %\tacross %\tavoided after s\twasted\ttipped\tbroken")
	for _, k := range Cases() {
		for _, peers := range []bool{false, true} {
			figures := make([][9]float64, *tableSeeds)
			var wait sync.WaitGroup
			for i := range figures {
				wait.Go(func() {
					c := k.Config(uint64(i+1), peers)
					r, err := Run(c)
					if err != nil {
						t.Error(err)
						return
					}
					after, wasted := r.Avoided(k.At, k.At+k.For, k.Target)
					figures[i] = [9]float64{r.InTime(k.At, k.At+10*sec), r.InTime(k.At, c.Span),
						100 * float64(r.Ends[failed]+r.Ends[unanswered]) / float64(r.Taken),
						100 * (float64(r.Sends)/float64(r.Taken-r.Ends[unreached]) - 1), 100 * float64(r.Across) / float64(r.Sends),
						float64(after) / float64(sec), float64(wasted), float64(r.Tips), float64(r.Broken)}
				})
			}
			wait.Wait()
			row := []string{k.Name, map[bool]string{false: "off", true: "on"}[peers]}
			for f, format := range []string{"%.3f", "%.3f", "%.2f", "%.1f", "%.0f", "%.1f", "%.0f", "%.0f", "%.0f"} {
				var x []float64
				for i := range figures {
					x = append(x, figures[i][f])
				}
				row = append(row, spreadOf(x, format))
			}
			fmt.Fprintln(out, strings.Join(row, "\t"))
		}
	}
}

// TestStaleness prints how old what proxies know of each other is, and how long a telling takes to each of them.
func TestStaleness(t *testing.T) {
	if !*table {
		t.Skip("-model.table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "proxies\tloss\tage s p50\tp99\tmax\tunder way s p50\tp99\tmax\tbytes/s a proxy")
	for _, n := range []int{10, 30, 100, 300} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			c := Default()
			c.Proxies, c.Nodos, c.Rate, c.Span, c.Loss, c.Chatter, c.Encoded = n, 2*n, 2*float64(n), 30*sec, loss, 4, true
			r := mustRun(t, c)
			s := func(x int64) float64 { return float64(x) / float64(sec) }
			fmt.Fprintf(out, "%d\t%.0f %%\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\n", n, 100*loss, s(r.Ages.At(0.5)),
				s(r.Ages.At(0.99)), s(r.Ages.At(1)), s(r.Spread.At(0.5)), s(r.Spread.At(0.99)), s(r.Spread.At(1)),
				float64(r.Bytes)/float64(n)/(float64(c.Span)/float64(sec)))
		}
	}
}

// big is the size that the model is for: 300 proxies, 600 nodos, nine zones in two regions.
func big() Config {
	c := Default()
	c.Proxies, c.Nodos, c.Zones, c.Regions, c.Span = 300, 600, 9, 2, 10*sec
	c.Rate = 0.5 * c.Capacity()
	c.Faults = []Fault{{Kind: ZoneLost, Zone: 4, At: 4 * sec, For: 4 * sec}}
	return c
}

func BenchmarkBig(b *testing.B) {
	events := 0
	for b.Loop() {
		r, err := Run(big())
		if err != nil {
			b.Fatal(err)
		}
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
