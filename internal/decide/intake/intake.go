package intake

import (
	"cmp"
	"container/heap"
	"time"
)

// Phase is what a connection does.
type Phase uint8

// The phases.
const (
	// New means that no request has begun yet.
	New Phase = iota
	// Idle means that all requests so far are answered.
	Idle
	// Receiving means that a request has begun and not all of it has arrived.
	Receiving
	// Serving means that a whole request has arrived and is not answered yet.
	Serving
	// Answering means that the client has yet to take the answer.
	Answering
)

// Stalled is how long nothing moves on a connection that counts as stalled: longer than the
// usual retransmission of a lost packet, so that clients on a poor link are not taken for it.
const Stalled = time.Second

// Connection describes one connection.
type Connection struct {
	Phase Phase
	// Held is the number of bytes that the node holds for the connection.
	Held int64
	// Quiet is the time since a byte last arrived or was taken.
	Quiet time.Duration
}

// rank orders connections by what giving them up costs an honest client. One that has stalled is
// most likely no loss; an idle connection costs the client a new one; a request that makes progress
// costs it a refusal. A new connection comes last, or each would be given up for the next.
func (c Connection) rank() int {
	stalled := c.Quiet >= Stalled
	switch {
	case c.Phase == Answering && stalled:
		return 0
	case c.Phase == Receiving && stalled:
		return 1
	case c.Phase == New && stalled:
		return 2
	case c.Phase == Idle:
		return 3
	case c.Phase == Answering:
		return 4
	case c.Phase == Receiving:
		return receivingRank
	}
	return receivingRank + 1
}

// receivingRank is the rank of a connection whose request makes progress.
const receivingRank = 5

// Victims returns the indexes of the connections to give up, so that they free the given numbers
// of bytes and connections: those of the lowest rank first, of one rank those that have been
// quiet for longest. A connection whose request is being served is never among them, because the
// request may take effect. One whose request makes progress is only given up for the place of
// another connection, not for bytes: requests that take each other's memory would all begin anew.
// It reports false if the victims do not suffice; then none is to be given up.
func Victims(connections []Connection, bytes int64, slots int) ([]int, bool) {
	candidates := make(candidates, 0, len(connections))
	for i, c := range connections {
		if c.Phase != Serving && (slots > 0 || c.rank() < receivingRank) {
			candidates = append(candidates, candidate{
				index: i,
				rank:  c.rank(),
				quiet: c.Quiet,
			})
		}
	}
	// Mostly one is given up for each that arrives, so that the others need not be sorted.
	heap.Init(&candidates)
	var victims []int
	for bytes > 0 || slots > 0 {
		if len(candidates) == 0 {
			return victims, false
		}
		i := heap.Pop(&candidates).(candidate).index
		victims = append(victims, i)
		bytes -= connections[i].Held
		slots--
	}
	return victims, true
}

// candidate is a connection that may be given up.
type candidate struct {
	index int
	rank  int
	quiet time.Duration
}

// candidates is a heap of those to give up first.
type candidates []candidate

func (c candidates) Len() int { return len(c) }

func (c candidates) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(c[a].rank, c[b].rank), cmp.Compare(c[b].quiet, c[a].quiet), cmp.Compare(c[a].index, c[b].index)) < 0
}

func (c candidates) Swap(a, b int) { c[a], c[b] = c[b], c[a] }

func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

func (c *candidates) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// EndsAfterAnswer reports whether a connection on which a request came before the one ahead of it was
// answered is to end with the next answer: as soon as half of the connections are in use, since the
// requests of one client could keep the node from those of others.
func EndsAfterAnswer(connections, room int) bool {
	return 2*connections > room
}

// LargeShare is the part of the budget up to which the later parts of large bodies are read. The rest
// is for connections, heads and the bodies of usual jobs, which large ones cannot keep out.
const LargeShare = 0.75

// ServedShare is the part of the budget that requests being served may hold. The rest is for
// requests that arrive, so that a node whose requests all wait can still read and refuse others.
const ServedShare = 0.75

// MayServe reports whether another request may be served that holds the given bytes, beside those
// that hold served bytes of the budget.
func MayServe(served, held, budget int64) bool {
	return served == 0 || float64(served+held) <= ServedShare*float64(budget)
}
