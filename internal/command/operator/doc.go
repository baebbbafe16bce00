// Package operator holds the command line's verbs for operators and callers:
// each is one call to an entry, printed as a table or as JSON.
package operator
