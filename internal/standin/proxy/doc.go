// Package proxy provides TCP and UDP proxies that inject network faults for
// tests: closed and refused connections, dropped data, delay, duplicated
// packets and truncated responses.
package proxy
