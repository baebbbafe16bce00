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
	// minSecret is the least length of the entries' secret, in bytes.
	minSecret = 16
	// protocol is the application protocol that peers agree on.
	protocol = "citronbay/1"
	// certificateYears is how long an entry's certificate is valid.
	certificateYears = 10
)

// errStranger reports a peer that does not hold the entries' key.
var errStranger = errors.New("peer: the other side does not hold the entries' key")

// Identity returns the TLS settings with which entries know each other, from
// the secret that they share. A secret under 16 bytes is refused.
func Identity(secret string) (*tls.Config, error) {
	if len(secret) < minSecret {
		return nil, fmt.Errorf("peer: secret has %d bytes, the least is %d", len(secret), minSecret)
	}
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, protocol, ed25519.SeedSize)
	if err != nil {
		return nil, fmt.Errorf("peer: derive key: %w", err)
	}
	key := ed25519.NewKeyFromSeed(seed)
	certificate, err := selfSign(key)
	if err != nil {
		return nil, fmt.Errorf("peer: sign certificate: %w", err)
	}
	expected := key.Public().(ed25519.PublicKey)
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		Certificates:       []tls.Certificate{certificate},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true, // VerifyConnection compares the key itself.
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, expected)
		},
	}, nil
}

// resetKey derives the key with which a restarted process tells its peers that it
// has forgotten their connections.
func resetKey(identity *tls.Config) *quic.StatelessResetKey {
	private, ok := identity.Certificates[0].PrivateKey.(ed25519.PrivateKey)
	if !ok {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("reset "), private.Seed()...)))
	return &key
}

func verify(state tls.ConnectionState, expected ed25519.PublicKey) error {
	if len(state.PeerCertificates) == 0 {
		return errStranger
	}
	presented, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || !presented.Equal(expected) {
		return errStranger
	}
	return nil
}

func selfSign(key ed25519.PrivateKey) (tls.Certificate, error) {
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
