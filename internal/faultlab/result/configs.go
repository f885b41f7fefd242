package result

import (
	"net/http"
	"slices"
	"time"

	"merlinpick/internal/faultlab/hollow"
)

// ConfigWrite is a write of a configuration to the list service.
type ConfigWrite struct {
	Service     string
	Faulty      bool  // the configuration is invalid on purpose and must be refused
	Status      int   // of the last answer; 0: none
	Version     int64 // if it was accepted
	RequestedAt int64 // when it was first sent, in ns of the machine's clock
	ConfirmedAt int64 // when it was last answered
}

// inForceDeadline is the operators' limit for the time from a change's confirmation until it is in force
// everywhere.
const inForceDeadline = 9 * time.Second

// configMetrics adds the metrics of the configurations that were written in a phase, which lasts from from to
// to, in ns of the machine's clock.
func (c *Control) configMetrics(phase string, from, to int64, add func(string, float64)) {
	versionsByService := map[string][][]ReceivedVersion{}
	for _, process := range c.Hollow {
		for _, p := range process.Proxies {
			if p.Config != nil {
				versionsByService[p.Config.Service] = append(versionsByService[p.Config.Service],
					p.Config.Versions)
			}
		}
	}
	if len(versionsByService) == 0 {
		return
	}
	var changes, refused, failed, never int
	var delays, confirmations []float64
	for _, write := range c.ConfigWrites {
		switch {
		case write.RequestedAt < from || write.RequestedAt >= to:
		case write.Faulty && write.Status == http.StatusBadRequest:
			refused++
		case write.Faulty || write.Status != http.StatusOK:
			failed++
		default:
			changes++
			change := []hollow.Change{{Version: write.Version, RequestedAt: write.RequestedAt,
				ConfirmedAt: write.ConfirmedAt}}
			delays = append(delays, notificationDelays(change, versionsByService[write.Service])...)
			confirmations = append(confirmations, float64(write.ConfirmedAt-write.RequestedAt)/1e6)
			never += countMissing(change, versionsByService[write.Service],
				to-inForceDeadline.Nanoseconds()+1)
		}
	}
	slices.Sort(delays)
	slices.Sort(confirmations)
	add(phase+".config_changes", float64(changes))
	add(phase+".config_refused", float64(refused))
	add(phase+".config_failed", float64(failed))
	add(phase+".config_never", float64(never))
	addQuantiles(phase+".config_in_force", delays, add)
	addQuantiles(phase+".config_confirmed", confirmations, add)
}
