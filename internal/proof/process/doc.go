// Package process holds the integration tests: real entry processes between
// simulated upstreams and platform, with a fault-injecting proxy on every
// path. What ran is judged by what the upstreams saw.
package process
