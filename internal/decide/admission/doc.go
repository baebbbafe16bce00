// Package admission decides which submissions a shard accepts while demand exceeds capacity, and
// when the callers of the others may return. It knows work only as amounts of time by team and
// priority; it uses no network, clock or lock: callers pass the time as Unix milliseconds of the
// shard owner's clock and serialize the calls.
//
// Load holds the work that is ahead of a submission and decides by it; Pace learns from what has
// run how fast the fleet carries work out; Returns remembers refused submissions, and spreads
// their callers' returns.
package admission
