// Package caller serves the HTTP interface of those who submit work: it checks
// their keys and messages, and answers with the true fate of what they asked.
package caller
