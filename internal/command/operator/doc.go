// Package operator provides the commands for operators and callers. Most of them make
// one call to an entry and print the response as a table or as JSON.
package operator
