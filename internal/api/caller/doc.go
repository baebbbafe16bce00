// Package caller holds the messages of the HTTP interface for those who submit
// work: quick requests, jobs, their fates, and the rules that a message must
// meet before anything of it is queued.
package caller
