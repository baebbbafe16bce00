// Package process holds the integration tests and benchmarks. Most run the entries
// as processes, with stand-ins for the upstreams and the platform in the test process
// and a fault-injecting proxy between entries, before each upstream and before the
// platform. The tests check what the upstreams recorded, so that they do not depend
// on what the entries report.
package process
