// Package operator serves the operators' HTTP interface. Each change is one
// compare-and-swap of one document, with its audit record in the same write, and
// its response names the entries that have applied it.
package operator
