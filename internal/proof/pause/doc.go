// Package pause stops and continues the processes of tests.
package pause
