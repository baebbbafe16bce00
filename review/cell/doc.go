// Package cell starts a small deployment for the review cases: the nodes are processes of the
// built program, while the platform's store, the runners and the clients are stand-ins in the
// driver's process that follow the platform's published protocol.
package cell
