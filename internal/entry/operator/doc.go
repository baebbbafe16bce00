// Package operator serves the operators' HTTP API. Each change is one compare-and-swap
// of one document, with its audit record in the same write, and the response names
// the entries that have applied it. The withdrawal of an API key also takes effect
// while the store is unreachable, and is then written to the store later.
package operator
