package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"golang.org/x/sync/errgroup"
)

const (
	// maxDecompressedBytes bounds the memory that decompressing one value takes.
	maxDecompressedBytes = 64 << 20
	// maxChunkBytes bounds the encoded records in one chunk of a snapshot. The store
	// limits a value to 1 MB as base64 text.
	maxChunkBytes = 640 << 10
	// maxChunks keeps a snapshot's transaction, which also has two conditions, within
	// the store's limit of 32 conditions and writes.
	maxChunks = 30
	// MaxSnapshotBytes is the largest size of a snapshot's encoded records.
	MaxSnapshotBytes = maxChunks * maxChunkBytes
)

// entry is the value of a key of the log. Number counts entries and snapshots from 1, and
// Token is the fencing token of the owner that wrote it.
type entry[R any] struct {
	Number  int64 `cbor:"1,keyasint"`
	Records []R   `cbor:"2,keyasint"`
	Token   int64 `cbor:"3,keyasint"`
}

// snapshotChunk is the value of one key of a snapshot, which replaces all entries up to
// Number.
type snapshotChunk[R any] struct {
	Number  int64 `cbor:"1,keyasint"`
	Records []R   `cbor:"2,keyasint"`
	Token   int64 `cbor:"3,keyasint"`
	// Chunks is the number of chunks in the snapshot.
	Chunks int `cbor:"4,keyasint"`
}

func entryPrefix(shard string) string {
	return "citronbay/" + shard + "/log/"
}

// entryKey returns the key of the n-th entry after a snapshot, counted from 1. The entries
// after the next snapshot overwrite those before it, so that few old ones are read.
func entryKey(shard string, n int64) string {
	return entryPrefix(shard) + strconv.FormatInt(n, 10)
}

func chunkPrefix(shard string) string {
	return "citronbay/" + shard + "/snapshot/"
}

func chunkKey(shard string, n int) string {
	return fmt.Sprintf("%s%03d", chunkPrefix(shard), n)
}

// OpenJournal reads the journal and returns it with its records in order, those of the
// snapshot first. It returns an error if a read fails, if the stored data is malformed or
// if a part of the snapshot is missing. The snapshot function returns records equivalent
// to all those appended so far; it is called with the lock given to Run held, see
// Journal.Append.
func OpenJournal[R any](ctx context.Context, client Client, term *Term, snapshot func() []R, log *slog.Logger) (*Journal[R], []R, error) {
	c, err := newCodec()
	if err != nil {
		return nil, nil, err
	}
	j := &Journal[R]{
		client:    client,
		codec:     c,
		term:      term,
		snapshot:  snapshot,
		log:       log,
		wakeup:    make(chan struct{}, 1),
		results:   make(chan writeResult[R], maxInFlight),
		revisions: map[string]int64{},

		linkInterval: minSendInterval,
	}
	chunks, entries, err := j.readItems(ctx)
	if err != nil {
		return nil, nil, fmt.Errorf("store: read journal: %w", err)
	}
	records, token, err := j.decodeSnapshot(chunks)
	if err != nil {
		return nil, nil, err
	}
	records, err = j.replay(records, token, entries)
	return j, records, err
}

// codec encodes and decodes the values of a journal.
type codec struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCodec() (codec, error) {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		return codec{}, fmt.Errorf("store: compression: %w", err)
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		return codec{}, fmt.Errorf("store: decompression: %w", err)
	}
	return codec{
		encoder: e,
		decoder: d,
	}, nil
}

// encode returns the value in CBOR, compressed: on a small link its size decides how long a
// takeover lasts.
func (c codec) encode(value any) ([]byte, error) {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		return nil, err
	}
	return c.encoder.EncodeAll(encoded, nil), nil
}

// zstdMagic begins each zstd frame (RFC 8878, section 3.1.1); no value in CBOR begins so.
var zstdMagic = []byte{0x28, 0xB5, 0x2F, 0xFD}

// decode decodes what encode returned, or a value that an earlier version of this program has
// stored without compression.
func (c codec) decode(encoded []byte, value any) error {
	if bytes.HasPrefix(encoded, zstdMagic) {
		var err error
		if encoded, err = c.decoder.DecodeAll(encoded, nil); err != nil {
			return err
		}
	}
	return cbor.Unmarshal(encoded, value)
}

// readItems reads the snapshot and the entries concurrently, to wait for one response
// time instead of two. No other process can change them during the term.
func (j *Journal[R]) readItems(ctx context.Context) (chunks, entries []Item, err error) {
	shard := j.term.shard
	var group errgroup.Group
	group.Go(func() (err error) {
		chunks, _, err = j.client.Range(ctx, chunkPrefix(shard))
		return err
	})
	group.Go(func() (err error) {
		entries, _, err = j.client.Range(ctx, entryPrefix(shard))
		return err
	})
	err = group.Wait()
	for _, item := range slices.Concat(chunks, entries) {
		j.revisions[item.Key] = item.Revision
	}
	return chunks, entries, err
}

// decodeSnapshot returns the snapshot's records and the fencing token of its writer,
// and sets snapshotNumber.
func (j *Journal[R]) decodeSnapshot(items []Item) ([]R, int64, error) {
	slices.SortFunc(items, func(a, b Item) int {
		return strings.Compare(a.Key, b.Key)
	})
	var records []R
	var first snapshotChunk[R]
	for n, item := range items {
		var c snapshotChunk[R]
		if err := j.codec.decode(item.Value, &c); err != nil {
			return nil, 0, fmt.Errorf("store: decode %s: %w", item.Key, err)
		}
		if n == 0 {
			first = c
			j.snapshotNumber = c.Number
		}
		if n == first.Chunks {
			break // the remaining chunks belong to an earlier, longer snapshot
		}
		j.snapshotBytes += len(item.Value)
		if c.Number != first.Number {
			return nil, 0, fmt.Errorf("store: snapshot %d contains a chunk of snapshot %d", first.Number, c.Number)
		}
		records = append(records, c.Records...)
	}
	if len(items) < first.Chunks {
		return nil, 0, fmt.Errorf("store: snapshot has only %d chunks of %d", len(items), first.Chunks)
	}
	return records, first.Token, nil
}

// replay appends the records of the entries that follow the snapshot without a gap in
// their numbers, and sets nextNumber. Entries after a gap were never confirmed. They
// remain until they are overwritten. A later replay ends at such an entry, whose token is
// lower than that of the entry before, and prefers the entry of the later term if there are
// two with one number. The parameter token is that of the snapshot.
func (j *Journal[R]) replay(records []R, token int64, items []Item) ([]R, error) {
	type storedEntry struct {
		entry[R]
		key   string
		bytes int
	}
	entries := map[int64]storedEntry{}
	for _, item := range items {
		e := storedEntry{
			key:   item.Key,
			bytes: len(item.Value),
		}
		if err := j.codec.decode(item.Value, &e.entry); err != nil {
			return nil, fmt.Errorf("store: decode %s: %w", item.Key, err)
		}
		if other, ok := entries[e.Number]; !ok || other.Token < e.Token {
			entries[e.Number] = e
		}
	}
	j.nextNumber = j.snapshotNumber + 1
	for {
		e, ok := entries[j.nextNumber]
		if !ok || e.Token < token {
			return records, nil
		}
		records = append(records, e.Records...)
		token = e.Token
		j.entryBytes += e.bytes + entryOverheadBytes
		// An earlier version of this program chose other keys. A snapshot has to cover such
		// entries before the next ones overwrite them.
		j.misplaced = j.misplaced || e.key != entryKey(j.term.shard, e.Number-j.snapshotNumber)
		j.nextNumber++
	}
}

// encode sets the write's key and transaction.
func (j *Journal[R]) encode(w *journalWrite[R]) error {
	var puts []Put
	var err error
	if w.isSnapshot {
		puts, err = j.encodeSnapshot(w.number)
	} else {
		puts, err = j.encodeEntry(w)
	}
	if err != nil {
		return err
	}
	w.key = puts[0].Key
	for _, p := range puts {
		w.bytes += len(p.Value)
	}
	w.txn = Txn{
		Expect: map[string]int64{
			w.key:                  j.revisions[w.key],
			OwnerKey(j.term.shard): j.term.token,
		},
		Puts: puts,
	}
	return nil
}

func (j *Journal[R]) encodeEntry(w *journalWrite[R]) ([]Put, error) {
	value, err := j.codec.encode(entry[R]{
		Number:  w.number,
		Records: w.records,
		Token:   j.term.token,
	})
	if err != nil {
		return nil, fmt.Errorf("store: encode journal entry: %w", err)
	}
	return []Put{{
		Key:   entryKey(j.term.shard, w.number-j.snapshotNumber),
		Value: value,
	}}, nil
}

// encodeSnapshot encodes the snapshot of everything appended so far as chunks.
func (j *Journal[R]) encodeSnapshot(number int64) ([]Put, error) {
	chunks, err := splitIntoChunks(j.snapshot())
	if err != nil {
		return nil, err
	}
	if len(chunks) > maxChunks {
		return nil, fmt.Errorf("store: snapshot has %d chunks, the limit is %d", len(chunks), maxChunks)
	}
	var puts []Put
	for n, chunk := range chunks {
		value, err := j.codec.encode(snapshotChunk[cbor.RawMessage]{
			Number:  number,
			Records: chunk,
			Token:   j.term.token,
			Chunks:  len(chunks),
		})
		if err != nil {
			return nil, fmt.Errorf("store: encode snapshot: %w", err)
		}
		puts = append(puts, Put{
			Key:   chunkKey(j.term.shard, n),
			Value: value,
		})
	}
	return puts, nil
}

// splitIntoChunks encodes the records and divides them into one or more chunks.
func splitIntoChunks[R any](records []R) ([][]cbor.RawMessage, error) {
	chunks := [][]cbor.RawMessage{nil}
	size := 0
	for _, r := range records {
		encoded, err := cbor.Marshal(r)
		if err != nil {
			return nil, fmt.Errorf("store: encode snapshot: %w", err)
		}
		if size += len(encoded); size > maxChunkBytes {
			chunks = append(chunks, nil)
			size = len(encoded)
		}
		chunks[len(chunks)-1] = append(chunks[len(chunks)-1], encoded)
	}
	return chunks, nil
}

// resolveConflict finds out why the condition of the write's transaction failed. If
// another attempt of the same write has taken effect, it returns the revision at which
// it did. If this process is no longer the owner, the error wraps ErrRevoked.
func (j *Journal[R]) resolveConflict(result TxnResult, w *journalWrite[R]) (int64, error) {
	owner, ok := result.Current[OwnerKey(j.term.shard)]
	if !ok || owner.Revision != j.term.token {
		return 0, fmt.Errorf("%w: owner key is at revision %d", ErrRevoked, owner.Revision)
	}
	item, ok := result.Current[w.key]
	if !ok {
		return 0, errors.New("store: a key of the journal was deleted")
	}
	// A snapshot chunk decodes as an entry too: both have the same first three fields.
	var written entry[cbor.RawMessage]
	if err := j.codec.decode(item.Value, &written); err != nil {
		return 0, fmt.Errorf("store: decode %s: %w", item.Key, err)
	}
	if written.Number != w.number || written.Token != j.term.token {
		return 0, fmt.Errorf("store: %s holds entry %d with token %d, want entry %d with token %d",
			w.key, written.Number, written.Token, w.number, j.term.token)
	}
	return item.Revision, nil
}
