// Package team decides how many tasks of each team a shard may run. A team's cap
// is divided among the shards in units; a shard may run one task of the team for
// each unit it holds. Claim, Confirm and Transfer compute the changes of the
// record of units in the platform's store, and Limit what a shard may run under
// it, so that the shards together never exceed the cap. A Ledger counts a shard's
// running tasks against its limits.
package team
