// Package peer keeps an entry's view of the other entries: who lives, who owns
// which shard, and what each lacks of the operators' agreement, which entries
// hand to one another so that one cut off from the store alone stays current.
package peer
