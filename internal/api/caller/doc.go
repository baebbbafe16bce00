// Package caller defines the HTTP API for clients that submit work: the messages
// for quick requests and jobs, their fates, the validation that a message must
// pass before any of its work is queued, and a client.
package caller
