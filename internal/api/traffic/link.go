package traffic

import "time"

// Link is the network link of this process's VM. The zero value is a link of unknown capacity.
type Link struct {
	// Mbps is the capacity in Mbit/s in each direction; zero means unknown.
	Mbps float64 `cbor:"1,keyasint,omitempty"`
}

// maxSmallMbps is the largest capacity in Mbit/s that the traffic of an owner may fill: polls of
// 2,700 workers take a seventh of it.
const maxSmallMbps = 100

// IsSmall reports whether the traffic of one process may fill the link. Datagrams are then lost,
// and TCP connections delayed.
func (l Link) IsSmall() bool {
	return l.Mbps > 0 && l.Mbps <= maxSmallMbps
}

// BytesPerSecond returns the capacity in each direction; zero means unknown.
func (l Link) BytesPerSecond() float64 {
	const bitsPerByte, bitsPerMbit = 8, 1e6
	return l.Mbps * bitsPerMbit / bitsPerByte
}

// Interval returns the time between messages of the given size at which they take the share of
// the link, within the bounds. If the capacity is unknown, it returns the lower bound.
func (l Link) Interval(bytes, share float64, least, most time.Duration) time.Duration {
	if l.Mbps <= 0 {
		return least
	}
	seconds := bytes / (share * l.BytesPerSecond())
	if seconds >= most.Seconds() {
		return max(least, most)
	}
	return max(least, time.Duration(seconds*float64(time.Second)))
}
