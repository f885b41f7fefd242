package balancer_test

import (
	"fmt"

	"merlinpick/balancer"
)

// printer is a Host that prints the actions of a Balancer. A proxy would carry them out.
type printer struct{}

func (printer) Send(id, server string, _, timeout int64) {
	fmt.Println("send", id, "to", server, "for", timeout)
}
func (printer) Reject(id string, after int64)      { fmt.Println("reject", id) }
func (printer) Fail(id string)                     { fmt.Println("fail", id) }
func (printer) SetTimer(delay int64, token string) { fmt.Println("timer", token) }
func (printer) Watch()                             { fmt.Println("watch") }
func (printer) Log(event balancer.Event)           { fmt.Println("log:", event) }

// A Balancer gets a list of two servers and a request. The first server rejects the request, so it is retried
// at the other one, which answers. A second request is rejected at once, since it has too little time left.
func Example() {
	b, err := balancer.New(balancer.Settings{
		Replicas: 1, ZoneCount: 1, MaxAttempts: 3, SlowStartMinCapacity: 0.2, SlowStartDuration: 20_000_000,
		Classes: []balancer.Class{{LatencyObjective: 500_000, Deadline: 1_500_000, PriorityWeight: 1, Idempotency: balancer.NonIdempotent}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var h printer
	now := int64(1_000_000)
	b.UpdateEndpoints(now, h, balancer.UpdateSnapshot, []balancer.Server{
		{ID: "a", State: balancer.ServerReady, CapacityHint: 1}, {ID: "b", State: balancer.ServerReady, CapacityHint: 1},
	})
	b.HandleRequest(now, h, balancer.Request{ID: "r1", Deadline: now + 1_500_000})
	b.HandleOutcome(now+1000, h, balancer.Outcome{RequestID: "r1", Attempt: 0, Status: balancer.StatusRejected, Latency: 1000})
	b.HandleOutcome(now+90_000, h, balancer.Outcome{RequestID: "r1", Attempt: 1, Status: balancer.StatusOK, Latency: 89_000, RequestDone: true})
	b.HandleRequest(now+90_000, h, balancer.Request{ID: "r2", Deadline: now + 91_000}) // no time left for an answer
	// Output:
	// send r1 to b for 500000
	// send r1 to a for 499000
	// reject r2
}
