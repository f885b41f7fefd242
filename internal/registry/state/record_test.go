package state

import (
	"errors"
	"strings"
	"testing"
)

// The error for an invalid record names the JSON key of the field at fault.
func TestRecordErrorsNameTheField(t *testing.T) {
	for field, change := range map[string]func(*Record){
		"name":               func(r *Record) { r.Name = "a b" },
		"address":            func(r *Record) { r.Address = "here" },
		"zone":               func(r *Record) { r.Zone = strings.Repeat("z", maxFieldBytes+1) },
		"type":               func(r *Record) { r.Type = strings.Repeat("t", maxFieldBytes+1) },
		"instance":           func(r *Record) { r.Instance = "" },
		"weight":             func(r *Record) { r.Weight = 2 * maxWeight },
		"since_ms and group": func(r *Record) { r.StartedAtMs = -1 },
		"lease_ms":           func(r *Record) { r.LeaseMs = MaxLease.Milliseconds() + 1 },
		"status":             func(r *Record) { r.Status = StatusDraining },
	} {
		r := record("n", "i", 1)
		if err := r.Check(); err != nil {
			t.Fatal(err)
		}
		change(r)
		var invalid *FieldError
		if err := r.Check(); !errors.As(err, &invalid) || invalid.Field != field || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

// The error for an invalid snapshot names the part at fault.
func TestSnapshotErrorsNameThePart(t *testing.T) {
	r := *record("n", "i", 1)
	for part, snapshot := range map[string]Snapshot{
		"index":             {Epoch: "l"},
		"nodos[1]":          {Epoch: "l", Version: 1, Records: []Record{r, r}},
		"nodos and ended":   {Epoch: "l", Version: 1, EndedInstances: make([]InstanceRef, MaxEndedInstances+1)},
		"configurations[1]": {Epoch: "l", Version: 1, Configs: []Configuration{{Service: "a", Version: 1, Document: []byte(`{}`)}, {Service: "a"}}},
	} {
		var invalid *ContentError
		if err := New().Load(snapshot); !errors.As(err, &invalid) || invalid.Part != part {
			t.Errorf("%s: got %v", part, err)
		}
	}
}
