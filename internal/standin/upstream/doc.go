// Package upstream is a stand-in for workers and runners: it grants the
// owner's lease, runs simulated tasks, and observes from its own side what was
// started, so that tests need not believe the system's counters. Its faults
// are switched at run time.
package upstream
