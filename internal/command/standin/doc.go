// Package standin provides the commands that run the stand-ins for the platform and
// the upstreams, and Serve, which runs one within another process.
package standin
