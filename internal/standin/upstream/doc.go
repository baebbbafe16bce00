// Package upstream is a stand-in for workers and runners, for tests and
// development cells. It grants a lease to the owner of its shard and runs simulated
// tasks. It records which tasks it started and when they ran, so that tests can check
// the scheduler's own counters. Faults can be injected at run time.
package upstream
