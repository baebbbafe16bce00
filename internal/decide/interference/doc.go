// Package interference learns from workers' reports which kinds of tasks slow each other down on
// one worker. It uses no network, clock or lock: callers pass the time as Unix milliseconds and
// serialize the calls.
package interference
