// Package standin runs the stand-ins for the platform and the upstreams, as separate
// processes or within another process.
package standin
