// Package owner decides which nodes watch the owner of a shard, how long an owner may be
// silent before another node takes its place, and which peers a message goes to. It uses
// neither network nor clock.
package owner
