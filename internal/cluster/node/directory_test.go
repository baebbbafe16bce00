package node

import (
	"errors"
	"io"
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronbay/citronbay/internal/cluster/store"
	"github.com/citronbay/citronbay/internal/cluster/worker"
)

// TestDirectoryDecodesEachVersionOnce reads a directory repeatedly, as store.Follow does,
// and counts the calls of Decode, including those that return an error.
func TestDirectoryDecodesEachVersionOnce(t *testing.T) {
	decoded := 0
	r := newDirectoryReader(Directory{
		Decode: func(item store.Item) (worker.Registration, error) {
			decoded++
			if item.Key == "foreign" {
				return worker.Registration{}, errors.New("written by somebody else")
			}
			return worker.Registration{
				ID:          item.Key,
				Incarnation: item.Revision,
			}, nil
		},
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	items := map[string]store.Item{
		"a": {
			Key:      "a",
			Revision: 1,
		},
		"foreign": {
			Key:      "foreign",
			Revision: 2,
		},
	}
	for range 3 {
		assert.Equal(t, len(r.read(items)), 1)
	}
	assert.Equal(t, decoded, 2)
	items["a"] = store.Item{
		Key:      "a",
		Revision: 3,
	}
	assert.DeepEqual(t, r.read(items), []worker.Registration{{
		ID:          "a",
		Incarnation: 3,
	}})
	assert.Equal(t, decoded, 3)
	delete(items, "a")
	assert.Equal(t, len(r.read(items)), 0)
}
