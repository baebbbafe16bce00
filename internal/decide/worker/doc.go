// Package worker decides on which machine a task is placed. A Fleet keeps the
// free amounts of an owner's machines and places by a policy; it knows neither
// network nor clock, and its caller provides locking.
package worker
