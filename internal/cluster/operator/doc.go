// Package operator holds the agreement that the operators have put in force:
// which requests belong to which queue, which key to which team, and what
// queues and teams may do.
package operator
