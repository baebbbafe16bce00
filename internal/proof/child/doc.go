// Package child runs the processes of tests.
package child
