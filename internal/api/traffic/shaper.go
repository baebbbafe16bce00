package traffic

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	// shapedShare is the share of a link that TCP connections may take in each direction. Full
	// links drop the datagrams of QUIC, which carry heartbeats and requests between nodes,
	// while TCP connections only wait.
	shapedShare = 0.8
	// shapedBurst is the time for which TCP connections may fill the link at once.
	shapedBurst = 20 * time.Millisecond
	// minShapedBurstBytes lets a message of common size pass in one piece.
	minShapedBurstBytes = 3 << 10
)

// Shaper delays what the TCP connections of a process send and receive, so that they leave a
// part of the link to others. The zero value delays nothing. Create it with NewShaper.
type Shaper struct {
	out, in *rate.Limiter // nil if nothing is delayed
}

// NewShaper returns a shaper for the link.
func NewShaper(link Link) Shaper {
	if !link.IsSmall() {
		return Shaper{}
	}
	perSecond := rate.Limit(shapedShare * link.BytesPerSecond())
	burst := max(minShapedBurstBytes, int(link.BytesPerSecond()*shapedBurst.Seconds()))
	return Shaper{
		out: rate.NewLimiter(perSecond, burst),
		in:  rate.NewLimiter(perSecond, burst),
	}
}

// wait waits until the limiter permits the bytes, which may be at most its burst. Urgent bytes
// are counted and do not wait.
func wait(l *rate.Limiter, bytes int, urgent bool) {
	if urgent {
		l.ReserveN(time.Now(), bytes)
		return
	}
	_ = l.WaitN(context.Background(), bytes) // fails only above the burst
}
