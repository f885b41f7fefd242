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
	tableSeeds = flag.Int("model.seeds", 7, "number of seeds for each row")
)

// spreadOf formats the median and the range of values.
func spreadOf(values []float64, format string) string {
	slices.Sort(values)
	return fmt.Sprintf(format+" ("+format+"-"+format+")", values[len(values)/2], values[0],
		values[len(values)-1])
}

func seconds(x int64) float64 { return float64(x) / float64(sec) }

// TestWithAndWithoutPeers prints each case without and with a cluster, on the same seeds.
func TestWithAndWithoutPeers(t *testing.T) {
	if !*table {
		t.Skip("-model.table")
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer out.Flush()
	fmt.Fprintln(out, "case\tcluster\tweight in time, 10 s\tto the end\tfailed, unanswered %\tretried %\tcross-zone %\tavoided after s\twasted\toverloads\tviolations\tfirst to last evacuation s p50 p99 max (n)")
	for _, k := range Cases() {
		for _, peers := range []bool{false, true} {
			metrics := make([][9]float64, *tableSeeds)
			var wait sync.WaitGroup
			runs := make([]*Result, *tableSeeds)
			for i := range metrics {
				wait.Go(func() {
					c := k.Config(uint64(i+1), peers)
					r, err := Run(c)
					if err != nil {
						t.Error(err)
						return
					}
					runs[i] = r
					after, wasted := r.Avoided(k.At, k.At+k.Duration, k.Target)
					metrics[i] = [9]float64{r.InTime(k.At, k.At+10*sec), r.InTime(k.At, c.Duration),
						100 * float64(r.Ends[endFailed]+r.Ends[endUnanswered]) / float64(r.Requests),
						100 * (float64(r.Sends)/float64(r.Requests-r.Ends[endUnreached]) - 1), 100 * float64(r.CrossZone) / float64(r.Sends),
						float64(after) / float64(sec), float64(wasted), float64(r.Overloads), float64(r.ViolationCount)}
				})
			}
			wait.Wait()
			row := []string{k.Name, map[bool]string{false: "off", true: "on"}[peers]}
			for f, format := range []string{"%.3f", "%.3f", "%.2f", "%.1f", "%.0f", "%.1f", "%.0f", "%.0f", "%.0f"} {
				var values []float64
				for i := range metrics {
					values = append(values, metrics[i][f])
				}
				row = append(row, spreadOf(values, format))
			}
			evacuations := runs[0].EvacuationSpread
			for _, r := range runs[1:] {
				evacuations.h.Merge(r.EvacuationSpread.h)
			}
			fmt.Fprintf(out, "%s\t%.2f %.2f %.2f (%d)\n", strings.Join(row, "\t"),
				seconds(evacuations.At(0.5)), seconds(evacuations.At(0.99)),
				seconds(evacuations.At(1)), evacuations.N())
		}
	}
}

var tableSizes = []int{10, 30, 100, 300}

// staleness returns a cluster of which one server fails for 5 s.
func staleness(proxies int, loss float64, loadReports int, duration int64) Config {
	c := Default()
	c.Proxies, c.Servers, c.Rate, c.Duration = proxies, 2*proxies, 20*float64(proxies), duration
	c.Loss, c.ExtraLoadReports, c.Encoded = loss, loadReports, true
	c.Faults = []Fault{{Kind: ServerErrors, At: 3 * sec, Duration: 5 * sec, Targets: []int{proxies}, Value: 0.9}}
	return c
}

// TestStaleness prints the ages of entries and their propagation times, with health reports alone and with load reports of
// two servers of each proxy.
func TestStaleness(t *testing.T) {
	if !*table {
		t.Skip("-model.table")
	}
	fmt.Println("seconds, p50 p99 max | health reports: age | propagation | load reports: age | propagation | bytes/s a proxy")
	var configs []Config
	for _, n := range tableSizes {
		for _, loss := range []float64{0, 0.1, 0.3} {
			for _, loadReports := range []int{0, 2} {
				c := staleness(n, loss, loadReports, 12*sec)
				configs = append(configs, c)
			}
		}
	}
	for i := range configs { // each row is printed when it is done: the last ones take minutes
		c := &configs[i]
		r := mustRun(t, *c)
		quantiles := func(d durations) string {
			return fmt.Sprintf("%.2f %.2f %.2f", seconds(d.At(0.5)), seconds(d.At(0.99)), seconds(d.At(1)))
		}
		fmt.Printf("%3d proxies, %2.0f %% lost, %d load reports | %s | %s | %s | %s | %.0f\n", c.Proxies, 100*c.Loss, c.ExtraLoadReports,
			quantiles(r.HealthAges), quantiles(r.HealthPropagation), quantiles(r.LoadAges),
			quantiles(r.LoadPropagation), float64(r.Bytes)/float64(c.Proxies)/seconds(c.Duration))
	}
}

// largeCluster returns a cluster of 300 proxies and 600 servers in nine zones of two regions.
func largeCluster() Config {
	c := Default()
	c.Proxies, c.Servers, c.Zones, c.Regions, c.Duration = 300, 600, 9, 2, 10*sec
	c.Rate = 0.5 * c.Capacity()
	c.Faults = []Fault{{Kind: ZoneLost, Zone: 4, At: 4 * sec, Duration: 4 * sec}}
	return c
}

// BenchmarkLargeCluster measures simulated events a second of real time.
func BenchmarkLargeCluster(b *testing.B) {
	events := 0
	for b.Loop() {
		r, err := Run(largeCluster())
		if err != nil {
			b.Fatal(err)
		}
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
