package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// What an isolated failure domain does with the keys that it knows.
const (
	IsolatedAccept = "accept"
	IsolatedRefuse = "refuse"
)

// Entry is the settings of one entry process.
type Entry struct {
	Name            string     `yaml:"name"`
	Domain          string     `yaml:"domain"`
	Region          string     `yaml:"region"`
	CallerAddress   string     `yaml:"callerAddress"`
	PeerAddress     string     `yaml:"peerAddress"`
	PlatformAddress string     `yaml:"platformAddress"`
	PeerSecret      string     `yaml:"peerSecret"`
	Operators       []Operator `yaml:"operators"`
	Peers           []Peer     `yaml:"peers"`
	// IsolatedKeys tells what to do with known keys while neither the store
	// nor another failure domain can be reached: accept or refuse.
	IsolatedKeys string  `yaml:"isolatedKeys"`
	Timings      Timings `yaml:"timings"`
	Limits       Limits  `yaml:"limits"`
}

// Operator is one operator, known by the SHA-256 of its key, in hexadecimal.
type Operator struct {
	Name    string `yaml:"name"`
	KeyHash string `yaml:"keyHash"`
}

// Peer is another entry that is known before the directory answers.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Domain  string `yaml:"domain"`
	Region  string `yaml:"region"`
}

// Timings are the intervals and bounds of time that an entry works by.
type Timings struct {
	Heartbeat       time.Duration `yaml:"heartbeat"`
	PeerTimeout     time.Duration `yaml:"peerTimeout"`
	Lease           time.Duration `yaml:"lease"`
	TaskLease       time.Duration `yaml:"taskLease"`
	StoreTimeout    time.Duration `yaml:"storeTimeout"`
	DirectoryPoll   time.Duration `yaml:"directoryPoll"`
	RequestDeadline time.Duration `yaml:"requestDeadline"`
	Drain           time.Duration `yaml:"drain"`
	IsolatedAfter   time.Duration `yaml:"isolatedAfter"`
}

// Limits bound what callers may use of an entry.
type Limits struct {
	BodyBytes   int64 `yaml:"bodyBytes"`
	HeaderBytes int   `yaml:"headerBytes"`
	Connections int   `yaml:"connections"`
}

// Default returns the settings that a file may leave out.
func Default() Entry {
	return Entry{
		IsolatedKeys: IsolatedAccept,
		Timings: Timings{
			Heartbeat:       250 * time.Millisecond,
			PeerTimeout:     time.Second,
			Lease:           2 * time.Second,
			TaskLease:       10 * time.Second,
			StoreTimeout:    time.Second,
			DirectoryPoll:   time.Second,
			RequestDeadline: 10 * time.Second,
			Drain:           30 * time.Second,
			IsolatedAfter:   5 * time.Second,
		},
		Limits: Limits{
			BodyBytes:   1 << 20,
			HeaderBytes: 16 << 10,
			Connections: 4096,
		},
	}
}

// Error tells where settings are wrong: the file, the line, and the field.
type Error struct {
	File  string
	Line  int
	Field string
	Cause string
}

// Error returns the place and the cause in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Cause)
}

// Load reads and checks the settings of the file.
func Load(file string) (Entry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: read: %w", err)
	}
	return Parse(file, content)
}

// Parse checks the settings' content; the file's name is for errors only.
func Parse(file string, content []byte) (Entry, error) {
	entry := Default()
	if err := yaml.UnmarshalWithOptions(content, &entry, yaml.Strict(), yaml.CustomUnmarshaler(readDuration)); err != nil {
		return Entry{}, decodeError(file, err)
	}
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Entry{}, decodeError(file, err)
	}
	for _, c := range checks(entry) {
		if c.cause != "" {
			return Entry{}, &Error{
				File:  file,
				Line:  lineOf(tree, c.field),
				Field: c.field,
				Cause: c.cause,
			}
		}
	}
	return entry, nil
}

// readDuration reads a duration with its unit. One that cannot be read becomes
// negative, so that the checks refuse it with its line and field.
func readDuration(d *time.Duration, text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		parsed = -1
	}
	*d = parsed
	return nil
}

func decodeError(file string, err error) error {
	cause := strings.TrimSpace(yaml.FormatError(err, false, false))
	located := &Error{
		File:  file,
		Line:  1,
		Field: "settings",
		Cause: cause,
	}
	var column int
	if _, scanErr := fmt.Sscanf(cause, "[%d:%d]", &located.Line, &column); scanErr == nil {
		_, located.Cause, _ = strings.Cut(cause, "] ")
	}
	located.Cause, _, _ = strings.Cut(located.Cause, "\n")
	if quoted := strings.Split(located.Cause, `"`); len(quoted) > 2 {
		located.Field = quoted[1]
	}
	return located
}

// lineOf returns the line of the field, or of the nearest parent that stands
// in the file.
func lineOf(tree *ast.File, field string) int {
	for path := field; path != ""; {
		if compiled, err := yaml.PathString("$." + path); err == nil {
			if node, err := compiled.FilterFile(tree); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return 1
}

// check is one field with what is wrong with it; an empty cause means nothing.
type check struct {
	field string
	cause string
}

func checks(e Entry) []check {
	found := []check{
		name("name", e.Name),
		name("domain", e.Domain),
		name("region", e.Region),
		address("callerAddress", e.CallerAddress),
		address("peerAddress", e.PeerAddress),
		address("platformAddress", e.PlatformAddress),
		{"peerSecret", failing(len(e.PeerSecret) < 16, "must have 16 bytes or more")},
		{"isolatedKeys", failing(e.IsolatedKeys != IsolatedAccept && e.IsolatedKeys != IsolatedRefuse, "must be accept or refuse")},
		{"limits.bodyBytes", failing(e.Limits.BodyBytes < 1024, "must be 1024 or more")},
		{"limits.headerBytes", failing(e.Limits.HeaderBytes < 1024, "must be 1024 or more")},
		{"limits.connections", failing(e.Limits.Connections < 1, "must be 1 or more")},
	}
	found = append(found, timings(e.Timings)...)
	for i, o := range e.Operators {
		prefix := fmt.Sprintf("operators[%d]", i)
		hash, err := hex.DecodeString(o.KeyHash)
		found = append(found,
			name(prefix+".name", o.Name),
			check{prefix + ".keyHash", failing(err != nil || len(hash) != 32, "must be a SHA-256 in hexadecimal")},
		)
	}
	for i, p := range e.Peers {
		prefix := fmt.Sprintf("peers[%d]", i)
		found = append(found,
			name(prefix+".name", p.Name),
			name(prefix+".domain", p.Domain),
			name(prefix+".region", p.Region),
			address(prefix+".address", p.Address),
		)
	}
	return found
}

func timings(t Timings) []check {
	var found []check
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"heartbeat", t.Heartbeat},
		{"peerTimeout", t.PeerTimeout},
		{"lease", t.Lease},
		{"taskLease", t.TaskLease},
		{"storeTimeout", t.StoreTimeout},
		{"directoryPoll", t.DirectoryPoll},
		{"requestDeadline", t.RequestDeadline},
		{"drain", t.Drain},
		{"isolatedAfter", t.IsolatedAfter},
	} {
		bad := d.value < 10*time.Millisecond || d.value > 10*time.Minute
		found = append(found, check{"timings." + d.field, failing(bad, "must be a duration from 10ms to 10m, with its unit")})
	}
	return append(
		found,
		check{"timings.peerTimeout", failing(t.PeerTimeout < 2*t.Heartbeat, "must be twice the heartbeat or more")},
		check{"timings.taskLease", failing(t.TaskLease < 2*t.Lease, "must be twice the lease or more")},
	)
}

func failing(bad bool, cause string) string {
	if bad {
		return cause
	}
	return ""
}

func name(field, value string) check {
	bad := value == "" || len(value) > 64 || strings.ContainsAny(value, "/ \t\n#.")
	return check{field, failing(bad, "must have 1 to 64 characters without spaces, slashes, dots or #")}
}

func address(field, value string) check {
	_, err := netip.ParseAddrPort(value)
	return check{field, failing(err != nil, fmt.Sprintf("%q is not an IP address with a port", value))}
}
