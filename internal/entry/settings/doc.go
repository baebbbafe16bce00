// Package settings reads and checks the YAML settings of an entry. Unknown
// fields, wrong units and values out of bounds are refused with the file, the
// line and the field.
package settings
