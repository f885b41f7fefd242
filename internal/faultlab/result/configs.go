package result

import (
	"net/http"
	"slices"
	"time"

	"merlinpick/internal/faultlab/hollow"
)

// Put is a configuration that was put at the list service's members.
type Put struct {
	Service string
	Faulty  bool
	Status  int   // of the last answer; 0: there was none
	Version int64 // of one that was taken
	Asked   int64 // when it was put first: nanoseconds of the machine's clock
	Sure    int64 // when it was answered last
}

// inForceWithin is what operators want: a change in force everywhere.
const inForceWithin = 9 * time.Second

// configs are the metrics of the configurations that were put in a phase.
func (c *Control) configs(phase string, from, to int64, put func(string, float64)) {
	follow := map[string][][]Told{}
	for _, x := range c.Hollow {
		for _, p := range x.Proxies {
			if p.Config != nil {
				follow[p.Config.Service] = append(follow[p.Config.Service], p.Config.Versions)
			}
		}
	}
	if len(follow) == 0 {
		return
	}
	var changes, refused, failed, never int
	var late, sure []float64
	for _, x := range c.Puts {
		switch {
		case x.Asked < from || x.Asked >= to:
		case x.Faulty && x.Status == http.StatusBadRequest:
			refused++
		case x.Faulty || x.Status != http.StatusOK:
			failed++
		default:
			changes++
			one := []hollow.Change{{Version: x.Version, RequestedAt: x.Asked, ConfirmedAt: x.Sure}}
			late = append(late, known(one, follow[x.Service])...)
			sure = append(sure, float64(x.Sure-x.Asked)/1e6)
			never += unmet(one, follow[x.Service], to-inForceWithin.Nanoseconds()+1)
		}
	}
	slices.Sort(late)
	slices.Sort(sure)
	put(phase+".config_changes", float64(changes))
	put(phase+".config_refused", float64(refused))
	put(phase+".config_failed", float64(failed))
	put(phase+".config_never", float64(never))
	spread(phase+".config_in_force", late, put)
	spread(phase+".config_confirmed", sure, put)
}
