package operator

import (
	"strings"

	"github.com/citronbay/citronbay/internal/decide/job"
)

// Route assigns requests to a queue by their host and path prefix.
type Route struct {
	Host   string
	Prefix string
	Queue  string
	// AuthExempt is set if the route's requests need no API key.
	AuthExempt bool
}

// Agreement is one version of the operators' configuration.
type Agreement struct {
	Version int64
	Routes  []Route
	Rules   job.Rules
	// TeamByKey maps each valid API key to the name of its team.
	TeamByKey map[string]string
	// MaxBodyBytes is the configured maximum size of a submission's body. It is not
	// enforced; the platform's HTTP server has a fixed limit.
	MaxBodyBytes int64
}

// Resolve returns the host's route with the longest matching prefix, the path
// without that prefix, and whether a route matched. The host must not include a port.
func (a *Agreement) Resolve(host, path string) (Route, string, bool) {
	var best Route
	found := false
	for _, route := range a.Routes {
		if route.Host != host || !strings.HasPrefix(path, route.Prefix) {
			continue
		}
		if !found || len(route.Prefix) > len(best.Prefix) {
			best, found = route, true
		}
	}
	return best, strings.TrimPrefix(path, best.Prefix), found
}
