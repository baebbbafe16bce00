// Package caller serves the HTTP API for callers, who submit requests and jobs. It
// authenticates callers by their key, validates the message, passes the work to
// the owner of a shard, and reports the work's fate.
package caller
