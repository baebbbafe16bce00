// Package task decides which waiting task is next. A Queue keeps tasks in
// priority bands, within a band by team, and within a team in order of
// arrival; adding and cancelling cost the same whatever the queue's length.
// Its caller provides locking.
package task
