// Package door bounds what the clients of an HTTP server make a process hold: connections, and
// memory for requests that are not answered yet.
package door
