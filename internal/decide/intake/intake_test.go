package intake

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestVictims checks what is given up first, and that a request being served never is.
func TestVictims(t *testing.T) {
	const second = time.Second
	connections := []Connection{
		0: {Phase: Serving, Held: 1000, Quiet: 9 * second},
		1: {Phase: Receiving, Held: 100, Quiet: second / 2},
		2: {Phase: Idle, Held: 10, Quiet: 3 * second},
		3: {Phase: Receiving, Held: 100, Quiet: 2 * second},
		4: {Phase: Idle, Held: 10, Quiet: 60 * second},
		5: {Phase: Answering, Held: 50, Quiet: 2 * second},
		6: {Phase: Receiving, Held: 100, Quiet: 3 * second},
		7: {Phase: Answering, Held: 50, Quiet: second / 2},
		8: {Phase: Receiving, Held: 100, Quiet: second / 4},
		9: {Phase: New, Held: 10, Quiet: second / 2},
	}
	for name, c := range map[string]struct {
		bytes  int64
		slots  int
		want   []int
		enough bool
	}{
		"nothing":                     {enough: true},
		"one connection":              {slots: 1, want: []int{5}, enough: true},
		"stalled requests":            {slots: 3, want: []int{5, 6, 3}, enough: true},
		"then idle, longest first":    {slots: 5, want: []int{5, 6, 3, 4, 2}, enough: true},
		"bytes":                       {bytes: 150, want: []int{5, 6}, enough: true},
		"then answers that move":      {bytes: 300, want: []int{5, 6, 3, 4, 2, 7}, enough: true},
		"no request that moves":       {bytes: 321, want: []int{5, 6, 3, 4, 2, 7}},
		"all but what is served":      {slots: 9, want: []int{5, 6, 3, 4, 2, 7, 1, 8, 9}, enough: true},
		"more than that, by slots":    {slots: 10, want: []int{5, 6, 3, 4, 2, 7, 1, 8, 9}},
		"more than that, by its size": {bytes: 531, slots: 1, want: []int{5, 6, 3, 4, 2, 7, 1, 8, 9}},
	} {
		t.Run(name, func(t *testing.T) {
			victims, enough := Victims(connections, c.bytes, c.slots)
			assert.Equal(t, enough, c.enough)
			assert.Equal(t, fmt.Sprint(victims), fmt.Sprint(c.want))
		})
	}
}

// TestMayServe checks that a single request is always served, and that room is left to read others.
func TestMayServe(t *testing.T) {
	assert.Assert(t, MayServe(0, 2000, 1000))
	assert.Assert(t, MayServe(700, 50, 1000))
	assert.Assert(t, !MayServe(700, 51, 1000))
}

// BenchmarkVictims measures the choice of one of as many connections as the smallest machines allow.
func BenchmarkVictims(b *testing.B) {
	connections := make([]Connection, 3756)
	for n := range connections {
		connections[n] = Connection{
			Phase: Phase(n % 5),
			Quiet: time.Duration(n*7919%3756) * time.Millisecond,
		}
	}
	for b.Loop() {
		Victims(connections, 0, 1)
	}
}
