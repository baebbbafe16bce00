package owner

import "time"

// maxUnacknowledged is the time after a message in which a packet arrives from an owner that runs: an
// acknowledgement takes two round trips between regions on a new connection, and the process's turn on a
// busy processor.
const maxUnacknowledged = 300 * time.Millisecond

// Contact is what a node knows of whether its messages reach an owner. A message that is sent to an
// owner which has ended has an unknown outcome until its caller's time is over, although it certainly
// has none that is sent to the next one instead. Contacts are immutable; the zero value is that before the
// first message.
type Contact struct {
	token   int64
	packets uint64
	// since is when the first message was sent after the last packet arrived.
	since time.Time
}

// WithMessage returns the contact once a message is sent to the owner with the token, from which the
// given number of packets has arrived so far.
func (c Contact) WithMessage(token int64, packets uint64, now time.Time) Contact {
	if c.token == token && c.packets == packets {
		return c
	}
	return Contact{
		token:   token,
		packets: packets,
		since:   now,
	}
}

// IsLost reports whether no packet has arrived from the owner with the token since an earlier message, for
// so long that a further one would probably get no answer.
func (c Contact) IsLost(token int64, packets uint64, now time.Time) bool {
	return c.token == token && c.packets == packets && now.Sub(c.since) > maxUnacknowledged
}
