// Package operator provides the commands for operators and callers. Most are one
// call to an entry whose response is printed as a table or as JSON.
package operator
