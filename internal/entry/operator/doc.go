// Package operator serves the HTTP interface of operators. Every change is one
// compare-and-swap of one document, with its audit record in the same write,
// and is answered with where it is in force.
package operator
