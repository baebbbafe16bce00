package evacuation_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/decide/evacuation"
)

func request(domain string, revision int64) evacuation.Request {
	return evacuation.Request{
		Domain:   domain,
		Key:      "op/evacuate/" + domain,
		Revision: revision,
	}
}

// TestStart decides on start orders by requests of different age. An order that is sent by requests
// of unknown age could start a task in an evacuated failure domain.
func TestStart(t *testing.T) {
	const bound = 4 * time.Second
	two := evacuation.New(9, request("a", 7), request("b", 9))
	for name, c := range map[string]struct {
		requests evacuation.Requests
		domain   string
		age      time.Duration
		bound    time.Duration
		want     evacuation.Verdict
	}{
		"no evacuations here":       {requests: two, domain: "a", age: time.Hour, want: evacuation.Permitted},
		"no request":                {requests: evacuation.New(9), domain: "a", age: bound, bound: bound, want: evacuation.Permitted},
		"other domains":             {requests: two, domain: "c", bound: bound, want: evacuation.Permitted},
		"one of two":                {requests: two, domain: "b", bound: bound, want: evacuation.Evacuated},
		"worker without a domain":   {requests: two, domain: "", bound: bound, want: evacuation.Permitted},
		"old knowledge":             {requests: evacuation.New(9), domain: "a", age: bound + 1, bound: bound, want: evacuation.Undecided},
		"old knowledge of requests": {requests: two, domain: "a", age: time.Hour, bound: bound, want: evacuation.Evacuated},
		"nothing read yet":          {domain: "a", age: time.Hour, bound: bound, want: evacuation.Undecided},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.requests.Start(c.domain, c.age, c.bound), c.want)
		})
	}
}

// TestMaxAge checks that an order that was sent by requests of that age arrives in time.
func TestMaxAge(t *testing.T) {
	for name, c := range map[string]struct{ inForce, want time.Duration }{
		"no evacuations":         {},
		"long":                   {inForce: 5 * time.Second, want: 4400 * time.Millisecond},
		"shorter than the order": {inForce: 400 * time.Millisecond, want: 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, evacuation.MaxAge(c.inForce, 600*time.Millisecond), c.want)
		})
	}
}

// TestSince compares requests before and after changes.
func TestSince(t *testing.T) {
	before := evacuation.New(9, request("a", 7), request("b", 9))
	for name, c := range map[string]struct {
		after           evacuation.Requests
		made, takenBack []evacuation.Request
	}{
		"the same":   {after: evacuation.New(20, request("b", 9), request("a", 7))},
		"one more":   {after: evacuation.New(12, request("a", 7), request("b", 9), request("c", 12)), made: []evacuation.Request{request("c", 12)}},
		"made again": {after: evacuation.New(12, request("a", 12), request("b", 9)), made: []evacuation.Request{request("a", 12)}},
		"taken back": {after: evacuation.New(13), takenBack: []evacuation.Request{request("a", 7), request("b", 9)}},
	} {
		t.Run(name, func(t *testing.T) {
			made, takenBack := c.after.Since(before)
			assert.DeepEqual(t, made, c.made)
			assert.DeepEqual(t, takenBack, c.takenBack)
			assert.Assert(t, c.after.Includes(before) && !before.Includes(c.after))
		})
	}
}

// TestUnknown lists the requests for failure domains without workers.
func TestUnknown(t *testing.T) {
	r := evacuation.New(9, request("b", 9), request("a", 7), request("c", 8))
	assert.DeepEqual(t, r.Unknown(map[string]bool{"a": true}), []evacuation.Request{request("b", 9), request("c", 8)})
	assert.Equal(t, len(r.Unknown(map[string]bool{"a": true, "b": true, "c": true})), 0)
}
