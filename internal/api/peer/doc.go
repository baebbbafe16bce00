// Package peer implements remote procedure calls between entries. Messages are CBOR
// over QUIC, with one stream for each call. Both sides authenticate with a key that
// all entries derive from a shared secret in their settings.
package peer
