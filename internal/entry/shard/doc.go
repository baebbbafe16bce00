// Package shard routes requests and jobs to the owners of shards, and runs the
// shard of the entry's failure domain while this entry owns it. A Router tries
// the entry's own domain first, then its region, then other regions if the
// operators' preset in force allows it. An owner is called directly if it is this
// process, and over QUIC otherwise.
package shard
