package metrics

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"merlinpick/internal/registry/api"
)

// The names and types of metrics are those of earlier versions.
func TestMetricNamesMatchGolden(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	a, err := api.Listen(api.Config{Listen: "127.0.0.1:0", Name: "r1", Logger: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Shutdown(time.Second) })
	s, err := Listen("127.0.0.1:0", a, log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	all := prometheus.NewRegistry()
	all.MustRegister(s)
	families, err := all.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, f := range families {
		fmt.Fprintln(&text, f.GetName(), strings.ToLower(f.GetType().String()))
	}
	const path = "testdata/names.golden"
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if text.String() != string(want) {
		t.Errorf("got\n%s\nnot\n%s", text.String(), want)
	}
}
