// Package team decides how many tasks of each team a shard may run. A team's cap
// is divided among the shards in units; a shard may run one task of the team for
// each unit it holds. The units are recorded in the platform's store: Claim,
// Confirm and Transfer compute the changes of that record, and Limit computes how many
// tasks a shard may run under it, so that the shards together never exceed the
// cap. A Ledger counts a shard's running tasks against its limits.
package team
