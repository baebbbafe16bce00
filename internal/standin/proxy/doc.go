// Package proxy provides TCP and UDP proxies that inject network faults for
// tests: closed connections, dropped data, delay, duplicated packets, truncated
// responses and links with a rate and a queue.
package proxy
