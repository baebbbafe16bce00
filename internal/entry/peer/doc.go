// Package peer tracks the other entries by heartbeat: which are alive, which own
// a shard, and whether their copies of the operators' agreement (teams, keys,
// presets and units) differ. Entries pull missing revisions from one another, so
// that an entry that cannot reach the store but reaches a peer stays current. They
// also tell one another which API keys have been withdrawn. From the heartbeats, each
// entry decides whether it should own its failure domain's shard.
package peer
