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
	// keyPrefix begins every caller's key.
	keyPrefix = "cb"
	// secretBytes is the length of a key's secret before encoding.
	secretBytes = 24
	// idBytes is the length of a key's id before encoding.
	idBytes = 6
)

// NewKey returns a key for the team, of which only the hash is kept, and the
// text that its holder shows: cb.TEAM.ID.SECRET.
func NewKey(team string, now time.Time) (operator.Key, string) {
	id := randomText(idBytes)
	secret := randomText(secretBytes)
	sum := sha256.Sum256([]byte(secret))
	key := operator.Key{
		ID:      id,
		Hash:    sum[:],
		Granted: now,
	}
	return key, strings.Join([]string{keyPrefix, team, id, secret}, ".")
}

func randomText(n int) string {
	raw := make([]byte, n)
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}

// ErrKey refuses a key; it does not tell which part of it is wrong.
var ErrKey = errors.New("caller: the key is missing, unknown or withdrawn")

// Authenticate returns the team whose key the request shows.
func Authenticate(registry *platform.Registry, r *http.Request) (operator.Team, error) {
	text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	parts := strings.Split(text, ".")
	if !ok || len(parts) != 4 || parts[0] != keyPrefix {
		return operator.Team{}, ErrKey
	}
	team, ok := registry.Team(parts[1])
	if !ok {
		return operator.Team{}, ErrKey
	}
	sum := sha256.Sum256([]byte(parts[3]))
	for _, key := range team.Keys {
		if key.ID != parts[2] || key.Withdrawn || registry.IsWithdrawn(key.ID) {
			continue
		}
		if subtle.ConstantTimeCompare(sum[:], key.Hash) == 1 {
			return team, nil
		}
	}
	return operator.Team{}, ErrKey
}
