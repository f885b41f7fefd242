package main

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"merlinpick/internal/registry/registrar"
)

// While all disks are full, no write is acknowledged, none is lost, and no member ends. When there is room,
// writes are accepted again.
func TestFullDisksConfirmNothingAndRecover(t *testing.T) {
	s := startCluster(t, 3)
	c := registrar.New(s.addresses)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	if _, err := c.Register(ctx, record("before", 1)); err != nil {
		t.Fatal(err)
	}
	setDisksFull := func(full bool) {
		for _, p := range s.processes {
			if err := p.SetDiskFull(full); err != nil {
				t.Fatal(err)
			}
		}
	}
	setDisksFull(true)
	short, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	var rejected *registrar.RejectedError
	if _, err := c.Register(short, record("during", 2)); err == nil || errors.As(err, &rejected) {
		t.Errorf("registered on full disks: %v", err)
	}
	for i, p := range s.processes {
		select {
		case <-p.Ended():
			t.Errorf("r%d ended: %v", i+1, p.Err())
		default:
		}
	}
	setDisksFull(false)
	if _, err := c.Register(ctx, record("after", 3)); err != nil {
		t.Fatal(err)
	}
	s.awaitServing()
	if _, _, values, err := s.list(ctx, 0); err != nil || values["before"] == "" || values["after"] == "" {
		t.Errorf("%v, %v", values, err)
	}
}

// A member that has lost its directory does not vote, so that no member becomes leader without an entry that
// the lost directory had acknowledged.
func TestWipedMemberAbstainsUntilCaughtUp(t *testing.T) {
	s := startCluster(t, 3)
	c := registrar.New(s.addresses)
	defer c.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	// The third is down while the other two acknowledge a registration.
	if err := s.processes[2].Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Register(ctx, record("n", 1)); err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{0, 1} {
		if err := s.processes[i].Kill(); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.RemoveAll(s.path(0, "")); err != nil {
		t.Fatal(err)
	}
	s.start(0)
	s.start(2)
	waitFor(t, "the wiped member to abstain", func() bool {
		st, err := s.status(0)
		return err == nil && st.Abstains
	})
	for range 150 { // several elections
		if l := s.leader(); l >= 0 {
			t.Fatalf("r%d was elected with the vote of a member that has lost its directory", l+1)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.start(1)
	s.awaitServing()
	for i := range s.addresses {
		if _, _, values, err := s.list(ctx, i); err != nil || values["n"] == "" {
			t.Errorf("r%d: %v, %v", i+1, values, err)
		}
	}
	waitFor(t, "the wiped member to vote again", func() bool {
		st, err := s.status(0)
		return err == nil && !st.Abstains
	})
}
