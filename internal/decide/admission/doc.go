// Package admission decides which submissions a shard accepts while demand exceeds capacity, and
// when the callers of the others may return. It knows work only as amounts of processor time by
// team and priority; it uses no network, clock or lock: callers pass the time as Unix
// milliseconds of the shard owner's clock and serialize the calls.
package admission
