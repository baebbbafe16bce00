// Package operator defines the agreement, the configuration that operators keep in
// the platform's store, and the messages of the operators' HTTP API. The agreement
// consists of teams with shares, caps and API keys, policy presets, the units of
// each team's cap that the shards hold, and an audit trail.
package operator
