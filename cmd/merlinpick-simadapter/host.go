package main

import (
	"encoding/json"

	"merlinpick/balancer"
)

// host implements balancer.Host: it writes the actions of one instance as lines of output.
type host struct {
	instance string
	out      *json.Encoder
}

// write encodes an action. A write error is not lost: endBatch returns it.
func (h *host) write(a action) { _ = h.out.Encode(a) }

func (h *host) Send(id, server string, _, timeout int64) {
	h.write(action{Send: &sendAction{h.instance, id, timeout, server}})
}

func (h *host) Reject(id string, after int64) {
	h.write(action{Reject: &rejectAction{h.instance, id, after}})
}

func (h *host) Fail(id string) { h.write(action{Fail: &requestAction{h.instance, id}}) }

func (h *host) SetTimer(delay int64, token string) {
	h.write(action{SetTimer: &timerAction{h.instance, delay, token}})
}

func (h *host) Watch() { h.write(action{Watch: &watchAction{h.instance, true}}) }

func (h *host) Log(event balancer.Event) {
	h.write(action{Log: &logAction{h.instance, event.String()}})
}
