// Package peer speaks the protocol between entries: calls of CBOR messages
// over QUIC, one stream a call, authenticated both ways with a key that all
// entries derive from one secret of their settings.
package peer
