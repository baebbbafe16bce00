// Package settings reads and checks the YAML settings of a cluster's node.
package settings
