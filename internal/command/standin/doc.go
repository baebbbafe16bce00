// Package standin runs the stand-ins for the platform and the upstreams, as
// processes of their own or inside another.
package standin
