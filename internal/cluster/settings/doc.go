// Package settings reads and validates the YAML settings of a cluster node.
package settings
