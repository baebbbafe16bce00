// Package process holds the integration tests: real entry processes with
// simulated upstreams and a simulated platform, and a fault-injecting proxy on
// every network path. The tests check what the upstreams recorded, so that they
// do not depend on what the entries report.
package process
