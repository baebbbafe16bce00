// Package worker defines what the cluster asks of a worker and of the directory
// of workers, whatever protocol they speak.
package worker
