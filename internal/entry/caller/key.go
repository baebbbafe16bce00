package caller

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/citronbay/citronbay/internal/api/operator"
	"github.com/citronbay/citronbay/internal/entry/platform"
)

const (
	// keyPrefix is the first of the four parts of a key's text.
	keyPrefix = "cb"
	// keySecretBytes is the length of a key's secret before it is encoded in base64.
	keySecretBytes = 24
	// keyIDBytes is the length of a key's id before it is encoded in base64.
	keyIDBytes = 6
)

// NewKey returns a new key for the team and the text that the caller presents as a
// bearer token: cb.TEAM.ID.SECRET. The key holds only the hash of the secret.
func NewKey(team string, now time.Time) (operator.Key, string) {
	id := randomString(keyIDBytes)
	secret := randomString(keySecretBytes)
	sum := sha256.Sum256([]byte(secret))
	key := operator.Key{
		ID:      id,
		Hash:    sum[:],
		Granted: now,
	}
	return key, strings.Join([]string{keyPrefix, team, id, secret}, ".")
}

func randomString(bytes int) string {
	raw := make([]byte, bytes)
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ErrInvalidKey reports that a key was rejected. It does not tell which part of
// the key is wrong.
var ErrInvalidKey = errors.New("caller: the key is missing, unknown or withdrawn")

// Authenticate returns the team whose key is the request's bearer token. The error
// is ErrInvalidKey if the token is missing or malformed, no team has the key, or the
// key is withdrawn.
func Authenticate(registry *platform.Registry, r *http.Request) (operator.Team, error) {
	credential, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	parts := strings.Split(credential, ".")
	if !ok || len(parts) != 4 || parts[0] != keyPrefix {
		return operator.Team{}, ErrInvalidKey
	}
	team, ok := registry.Team(parts[1])
	if !ok {
		return operator.Team{}, ErrInvalidKey
	}
	secretHash := sha256.Sum256([]byte(parts[3]))
	for _, key := range team.Keys {
		if key.ID != parts[2] || key.Withdrawn || registry.IsWithdrawn(key.ID) {
			continue
		}
		if subtle.ConstantTimeCompare(secretHash[:], key.Hash) == 1 {
			return team, nil
		}
	}
	return operator.Team{}, ErrInvalidKey
}
