package operator

import (
	"strings"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// Route sends the requests of a host under a path prefix to a queue.
type Route struct {
	Host   string
	Prefix string
	Queue  string
	// Open routes need no key.
	Open bool
}

// Agreement is one version of what the operators have agreed with the teams.
type Agreement struct {
	Version int64
	Routes  []Route
	Rules   job.Rules
	// TeamByKey gives the team of each key that is granted.
	TeamByKey map[string]string
	// MaxBodyBytes bounds a submission.
	MaxBodyBytes int64
}

// Resolve returns the route with the longest prefix of the path at the host, and
// the rest of the path.
func (a *Agreement) Resolve(host, path string) (Route, string, bool) {
	var best Route
	found := false
	for _, r := range a.Routes {
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if !found || len(r.Prefix) > len(best.Prefix) {
			best, found = r, true
		}
	}
	return best, strings.TrimPrefix(path, best.Prefix), found
}
