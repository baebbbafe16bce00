// Package intake decides which connections of clients a node gives up, and in which order, when
// what they make it hold exceeds its budget.
package intake
