// Package operator holds what operators agree on and keep in the platform's
// store: teams with shares, caps and keys, presets, the units of each team's
// cap that shards hold, and the audit trail, with the messages of the
// operators' HTTP interface.
package operator
