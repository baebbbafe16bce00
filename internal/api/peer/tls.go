package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// minSecretBytes is the minimum length of the shared secret.
	minSecretBytes = 16
	// protocolName is negotiated as the application protocol (ALPN) and separates
	// the derived key from other uses of the secret.
	protocolName = "citronbay/1"
	// certificateYears is the validity of an entry's certificate, in years.
	certificateYears = 10
)

// errWrongKey reports a peer that has not authenticated with the entries' key.
var errWrongKey = errors.New("peer: remote side does not have the entries' key")

// TLSConfig returns the TLS configuration with which entries authenticate each other,
// derived from their shared secret. It returns an error if the secret is shorter than
// 16 bytes.
func TLSConfig(secret string) (*tls.Config, error) {
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("peer: secret has %d bytes, the minimum is %d", len(secret), minSecretBytes)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, protocolName, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("peer: derive key: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	certificate, err := selfSignedCertificate(key)
	if err != nil {
		return nil, fmt.Errorf("peer: sign certificate: %w", err)
	}
	expected := key.Public().(ed25519.PublicKey)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocolName},
		Certificates: []tls.Certificate{certificate},
		// The larger key shares that are the default double the packets of a handshake, and all nodes
		// repeat these at once when an owner does not answer.
		CurvePreferences:   []tls.CurveID{tls.X25519},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection compares the public key instead.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyPeerKey(state, expected)
		},
	}, nil
}

// statelessResetKey derives the key that authenticates QUIC stateless resets. All
// entries derive the same key, so that after a restart an entry can tell its peers
// that their connections to the earlier process are gone.
func statelessResetKey(tlsConfig *tls.Config) *quic.StatelessResetKey {
	privateKey, ok := tlsConfig.Certificates[0].PrivateKey.(ed25519.PrivateKey)
	if !ok {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("reset "), privateKey.Seed()...)))
	return &key
}

func verifyPeerKey(state tls.ConnectionState, expected ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errWrongKey
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !presented.Equal(expected) {
		return errWrongKey
	}
	return nil
}

func selfSignedCertificate(key ed25519.PrivateKey) (tls.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().AddDate(certificateYears, 0, 0),
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{
		Certificate: [][]byte{encoded},
		PrivateKey:  key,
	}, nil
}
