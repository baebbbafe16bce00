// Package proxy provides TCP and UDP proxies that inject network faults for
// tests: closed connections, dropped data, delay, duplicated packets and truncated
// responses.
package proxy
