// Package operator defines the messages of the operators' HTTP API, and the agreement:
// the configuration of the cell that all entries share and that the platform's store
// holds. The agreement consists of teams with shares, caps and API keys, the scheduling
// policy's presets, drained upstreams, open services, each shard's units of the teams'
// caps, and an audit trail. The owners of the shards write the units, operators the
// rest.
package operator
