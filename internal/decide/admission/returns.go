package admission

const (
	// MinRetryMillis is the least time after which a refused caller may return.
	MinRetryMillis = 1000
	// maxRetryMillis is the most: room can come sooner than expected.
	maxRetryMillis = 8000
	// keepMillis is how long a refused submission is remembered.
	keepMillis = 20_000
	// minShare is the least share of the fleet by which returns are spread.
	minShare = 0.01
	// maxRemembered limits the refused submissions that are remembered.
	maxRemembered = 20_000
)

type lane struct {
	team     string
	priority int
}

type refusedJob struct {
	id      string
	first   int64
	refused int64
}

// Returns remembers refused submissions and spreads the returns of their callers, so that those
// who return together fit the room that is expected. Each team has a lane for each priority, in
// which the jobs that it had refused return at the rate of its share of the fleet: a team whose
// refused work is many times its share waits long, and the others are not delayed by it. Create
// it with NewReturns.
type Returns struct {
	first map[string]int64
	order []refusedJob
	next  map[lane]float64
}

// NewReturns returns the returns of a shard that has refused nothing.
func NewReturns() *Returns {
	return &Returns{
		first: map[string]int64{},
		next:  map[lane]float64{},
	}
}

// FirstMillis returns when the job was first submitted, as far as this is remembered, and
// otherwise now.
func (r *Returns) FirstMillis(id string, now int64) (first int64, repeated bool) {
	first, repeated = r.first[id]
	if !repeated {
		return now, false
	}
	return first, true
}

// Accept forgets a job that is accepted.
func (r *Returns) Accept(id string) {
	delete(r.first, id)
}

// Refuse remembers that the submission was refused. It returns the decision with the time after
// which its caller may return; share is the team's share of the fleet.
func (r *Returns) Refuse(id string, w Work, share float64, d Decision, now int64) Decision {
	r.forget(now)
	if _, ok := r.first[id]; !ok && len(r.first) < maxRemembered {
		r.first[id] = now
		r.order = append(r.order, refusedJob{
			id:      id,
			first:   now,
			refused: now,
		})
	}
	key := lane{
		team:     w.Team,
		priority: w.Priority,
	}
	earliest := float64(now + d.RetryMillis)
	at := max(earliest, r.next[key])
	r.next[key] = min(at+w.Amounts.Fleet/max(share, minShare), float64(now+maxRetryMillis))
	d.RetryMillis = min(max(int64(at)-now, MinRetryMillis), maxRetryMillis)
	return d
}

// forget removes what was refused long ago.
func (r *Returns) forget(now int64) {
	n := 0
	for n < len(r.order) && now-r.order[n].refused > keepMillis {
		if r.first[r.order[n].id] == r.order[n].first {
			delete(r.first, r.order[n].id)
		}
		n++
	}
	r.order = r.order[n:]
}
