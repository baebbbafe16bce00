// Package settings reads and validates the YAML settings of an entry. Errors for
// unknown fields, wrong units and values out of range name the file, the line and
// the field.
package settings
