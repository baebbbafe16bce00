package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatience computes for how long an owner may be silent. Repeated changes stop: without that,
// each takeover fills the links, which makes the next owner silent too.
func TestPatience(t *testing.T) {
	now := time.Unix(1000, 0)
	changes := func(ages ...time.Duration) Changes {
		var c Changes
		for _, age := range ages {
			c = c.With(now.Add(-age))
		}
		return c
	}
	for name, c := range map[string]struct {
		changes     Changes
		observation Observation
		want        time.Duration
		never       bool
	}{
		"no change lately": {
			want: firstPatience,
		},
		"one change": {
			changes: changes(5 * time.Second),
			want:    secondPatience,
		},
		"two changes": {
			changes: changes(5*time.Second, time.Second),
			never:   true,
		},
		"changes long ago": {
			changes: changes(time.Hour, changeMemory+time.Second),
			want:    firstPatience,
		},
		"packets arrive": {
			observation: Observation{Heard: true},
			want:        busyPatience,
		},
		"weak node": {
			observation: Observation{Weak: true},
			want:        2 * firstPatience,
		},
		"link that may be full": {
			observation: Observation{SmallLink: true},
			never:       true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			patience, ok := c.changes.Patience(now, c.observation)
			assert.Equal(t, ok, !c.never)
			assert.Equal(t, patience, c.want)
		})
	}
}

// TestChangesAreImmutable checks that With leaves its receiver as it is.
func TestChangesAreImmutable(t *testing.T) {
	now := time.Unix(1000, 0)
	one := Changes{}.With(now)
	first, second := one.With(now), one.With(now.Add(-time.Second))
	assert.Equal(t, len(one.times), 1)
	assert.Assert(t, first.times[1] != second.times[1])
}

func testAddresses(count int) []string {
	var addresses []string
	for n := range count {
		addresses = append(addresses, fmt.Sprintf("10.%d.0.%d:7420", 1+n%6, 2+n/6))
	}
	return addresses
}

// TestWatchers compares the choice with that of each node: all agree, and it does not grow with
// the number of nodes. In a large cluster the watchers are in several failure domains.
func TestWatchers(t *testing.T) {
	for name, size := range map[string]int{
		"none":  0,
		"one":   1,
		"small": 7,
		"large": 97,
		"huge":  300,
	} {
		t.Run(name, func(t *testing.T) {
			addresses := testAddresses(size)
			rand.New(rand.NewPCG(1, 2)).Shuffle(size, func(i, j int) {
				addresses[i], addresses[j] = addresses[j], addresses[i]
			})
			watchers := Watchers(addresses)
			assert.Equal(t, len(watchers), min(size, maxWatchers))
			for _, address := range addresses {
				assert.Equal(t, IsWatcher(address, addresses), slices.Contains(watchers, address))
			}
			domains := map[string]bool{}
			for _, address := range watchers {
				domains[address[:4]] = true
			}
			assert.Assert(t, size < 97 || len(domains) >= 3, "%v", watchers)
		})
	}
}

// TestSplit checks that the groups hold each address once and have nearly equal sizes.
func TestSplit(t *testing.T) {
	for name, c := range map[string]struct{ size, groups, want int }{
		"none":        {size: 0, groups: 4, want: 0},
		"fewer":       {size: 3, groups: 4, want: 3},
		"as many":     {size: 4, groups: 4, want: 4},
		"many":        {size: 97, groups: 4, want: 4},
		"single list": {size: 9, groups: 1, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			addresses := testAddresses(c.size)
			groups := Split(addresses, c.groups)
			assert.Equal(t, len(groups), c.want)
			var all []string
			for _, group := range groups {
				assert.Assert(t, len(group) >= c.size/c.want && len(group) <= c.size/c.want+1)
				all = append(all, group...)
			}
			slices.Sort(all)
			slices.Sort(addresses)
			assert.DeepEqual(t, all, append([]string(nil), addresses...))
		})
	}
}

// TestPage checks that pages repeated from the last address list all addresses in turn, also if the
// last address is no longer there.
func TestPage(t *testing.T) {
	for name, c := range map[string]struct{ size, count int }{
		"none":            {size: 0, count: 8},
		"less than a one": {size: 5, count: 8},
		"several":         {size: 97, count: 8},
	} {
		t.Run(name, func(t *testing.T) {
			addresses := testAddresses(c.size)
			slices.Sort(addresses)
			seen := map[string]bool{}
			last := "10.9.9.9:1"
			for range (c.size + c.count - 1) / c.count {
				page := Page(addresses, last, c.count)
				assert.Equal(t, len(page), min(c.size, c.count))
				for _, address := range page {
					seen[address], last = true, address
				}
			}
			assert.Equal(t, len(seen), c.size)
		})
	}
	assert.DeepEqual(t, Page([]string{"a", "c"}, "b", 1), []string{"c"})
}

// TestContact replays messages to an owner that is killed 100 ms after its last answer, and to others that
// run. The messages of entries come every 10 ms.
func TestContact(t *testing.T) {
	const interval, roundTrip = 10 * time.Millisecond, 80 * time.Millisecond
	for name, c := range map[string]struct {
		first  uint64        // message that is acknowledged first
		last   uint64        // message that is acknowledged last
		next   int64         // the token of the owner of the messages from number 60 on
		lostAt time.Duration // from the first message on; zero if never
	}{
		"owner that runs":              {last: 1000},
		"owner that is killed":         {last: 10, lostAt: 490 * time.Millisecond},
		"owner that never answers":     {first: 1000, last: 1000, lostAt: 310 * time.Millisecond},
		"owner that answers slowly":    {first: 20, last: 1000},
		"killed, and the next is here": {last: 40, next: 2},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			contact, lostAt := Contact{}, time.Duration(0)
			for n := range uint64(100) {
				at := time.Duration(n) * interval
				token, packets := int64(1), uint64(0)
				if acknowledged := (at - roundTrip) / interval; at >= roundTrip && uint64(acknowledged) >= c.first {
					packets = min(uint64(acknowledged), c.last) + 1
				}
				if c.next != 0 && n >= 60 {
					token = c.next
					packets = n
				}
				if contact.IsLost(token, packets, start.Add(at)) {
					lostAt = at
					break
				}
				contact = contact.WithMessage(token, packets, start.Add(at))
			}
			assert.Equal(t, lostAt, c.lostAt)
		})
	}
}
