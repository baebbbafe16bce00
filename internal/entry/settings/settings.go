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

// Values of Entry.IsolatedKeys.
const (
	IsolatedAccept = "accept"
	IsolatedRefuse = "refuse"
)

// Entry holds the settings of an entry process. Addresses are of the form IP:port.
type Entry struct {
	Name string `yaml:"name"`
	// Domain is the entry's failure domain.
	Domain string `yaml:"domain"`
	Region string `yaml:"region"`
	// CallerAddress is where the entry listens for callers and operators, and
	// PeerAddress where it listens for other entries.
	CallerAddress string `yaml:"callerAddress"`
	PeerAddress   string `yaml:"peerAddress"`
	// PlatformAddress is where the platform serves its store and directory.
	PlatformAddress string `yaml:"platformAddress"`
	// PeerSecret is shared by all entries and has at least 16 bytes.
	PeerSecret string     `yaml:"peerSecret"`
	Operators  []Operator `yaml:"operators"`
	Peers      []Peer     `yaml:"peers"`
	// IsolatedKeys says whether known keys are accepted or rejected while neither
	// the store nor another failure domain can be reached: accept or refuse.
	IsolatedKeys string  `yaml:"isolatedKeys"`
	Timings      Timings `yaml:"timings"`
	Limits       Limits  `yaml:"limits"`
}

// Operator identifies an operator by a key. KeyHash is the SHA-256 of the key in
// hexadecimal.
type Operator struct {
	Name    string `yaml:"name"`
	KeyHash string `yaml:"keyHash"`
}

// Peer is another entry, which can be reached even before the directory has been
// read.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Domain  string `yaml:"domain"`
	Region  string `yaml:"region"`
}

// Timings holds the intervals, timeouts and lease durations of an entry. Each is
// from 10ms to 10m.
type Timings struct {
	// Heartbeat is the interval of heartbeats to entries of the same domain. Those
	// to other domains are sent at a multiple of it.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// PeerTimeout is the timeout of heartbeats, pulls of revisions and withdrawals of
	// keys sent to other entries, and how long an entry counts as alive after its last
	// heartbeat. It is at least twice Heartbeat.
	PeerTimeout time.Duration `yaml:"peerTimeout"`
	// Lease is the duration of an owner's lease on an upstream.
	Lease time.Duration `yaml:"lease"`
	// TaskLease is how long an upstream keeps tasks running after an owner has last
	// claimed or renewed the lease on it. It is at least twice Lease.
	TaskLease time.Duration `yaml:"taskLease"`
	// StoreTimeout is the timeout of calls to the platform's store and directory. A
	// watch may take its wait time in addition.
	StoreTimeout time.Duration `yaml:"storeTimeout"`
	// DirectoryPoll is the interval at which the directory of VMs is read.
	DirectoryPoll time.Duration `yaml:"directoryPoll"`
	// RequestDeadline is the deadline of a request that sets none, of a query for a
	// request and of the submission of a job.
	RequestDeadline time.Duration `yaml:"requestDeadline"`
	// Drain is how long requests in progress may take to complete when the entry
	// stops.
	Drain time.Duration `yaml:"drain"`
	// IsolatedAfter is how long the store must have been unresponsive before the
	// failure domain counts as isolated, if no entry of another domain is alive
	// either.
	IsolatedAfter time.Duration `yaml:"isolatedAfter"`
}

// Limits holds the limits on the requests and connections of callers.
type Limits struct {
	// BodyBytes and HeaderBytes are the largest body and header of a request, in
	// bytes. Each is at least 1024.
	BodyBytes   int64 `yaml:"bodyBytes"`
	HeaderBytes int   `yaml:"headerBytes"`
	// Connections is the largest number of open connections, those of operators
	// included. It is at least 1.
	Connections int `yaml:"connections"`
}

// Default returns the settings that apply unless a file sets others. The name, domain,
// region, addresses and peer secret have no default.
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

// Error reports an invalid setting and its place in the file.
type Error struct {
	File string
	// Line counts from 1. It is the line of the field, or that of its nearest parent
	// if the file does not set the field, or 1 if the place is not known.
	Line int
	// Field is the path of the field, such as operators[0].keyHash; if the YAML cannot
	// be decoded, it is the name that the parser quotes, or "settings".
	Field string
	Cause string
}

// Error returns the file, the line, the field and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Cause)
}

// Load returns the validated settings of the YAML file. The error is an *Error if the
// content is invalid, and wraps the error of os.ReadFile if the file cannot be read.
func Load(file string) (Entry, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: read: %w", err)
	}
	return Parse(file, content)
}

// Parse returns the validated settings of the YAML content, or an *Error. The file
// name is used in the error only.
func Parse(file string, content []byte) (Entry, error) {
	entry := Default()
	if err := yaml.UnmarshalWithOptions(content, &entry, yaml.Strict(), yaml.CustomUnmarshaler(unmarshalDuration)); err != nil {
		return Entry{}, decodeError(file, err)
	}
	tree, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Entry{}, decodeError(file, err)
	}
	for _, c := range checkFields(entry) {
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

// unmarshalDuration parses a duration with its unit. An invalid duration becomes
// negative, so that checkTimings rejects it and the error has the line and field.
func unmarshalDuration(duration *time.Duration, text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		parsed = -1
	}
	*duration = parsed
	return nil
}

// decodeError converts an error of the YAML parser to an *Error. The parser's text
// begins with [line:column], if the place is known, and quotes the field, if any.
func decodeError(file string, err error) error {
	cause := strings.TrimSpace(yaml.FormatError(err, false, false))
	settingsErr := &Error{
		File:  file,
		Line:  1,
		Field: "settings",
		Cause: cause,
	}
	var column int
	if _, scanErr := fmt.Sscanf(cause, "[%d:%d]", &settingsErr.Line, &column); scanErr == nil {
		_, settingsErr.Cause, _ = strings.Cut(cause, "] ")
	}
	settingsErr.Cause, _, _ = strings.Cut(settingsErr.Cause, "\n")
	if quoted := strings.Split(settingsErr.Cause, `"`); len(quoted) > 2 {
		settingsErr.Field = quoted[1]
	}
	return settingsErr
}

// lineOf returns the line of the field, or of its nearest parent that is in the
// file.
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

// check is the result of validating a field. The cause is empty if the field is
// valid.
type check struct {
	field string
	cause string
}

func checkFields(e Entry) []check {
	checks := []check{
		checkName("name", e.Name),
		checkName("domain", e.Domain),
		checkName("region", e.Region),
		checkAddress("callerAddress", e.CallerAddress),
		checkAddress("peerAddress", e.PeerAddress),
		checkAddress("platformAddress", e.PlatformAddress),
		{"peerSecret", causeIf(len(e.PeerSecret) < 16, "must have at least 16 bytes")},
		{"isolatedKeys", causeIf(e.IsolatedKeys != IsolatedAccept && e.IsolatedKeys != IsolatedRefuse, "must be accept or refuse")},
		{"limits.bodyBytes", causeIf(e.Limits.BodyBytes < 1024, "must be at least 1024")},
		{"limits.headerBytes", causeIf(e.Limits.HeaderBytes < 1024, "must be at least 1024")},
		{"limits.connections", causeIf(e.Limits.Connections < 1, "must be at least 1")},
	}
	checks = append(checks, checkTimings(e.Timings)...)
	for i, o := range e.Operators {
		prefix := fmt.Sprintf("operators[%d]", i)
		hash, err := hex.DecodeString(o.KeyHash)
		checks = append(checks,
			checkName(prefix+".name", o.Name),
			check{prefix + ".keyHash", causeIf(err != nil || len(hash) != 32, "must be a SHA-256 hash in hexadecimal")},
		)
	}
	for i, p := range e.Peers {
		prefix := fmt.Sprintf("peers[%d]", i)
		checks = append(checks,
			checkName(prefix+".name", p.Name),
			checkName(prefix+".domain", p.Domain),
			checkName(prefix+".region", p.Region),
			checkAddress(prefix+".address", p.Address),
		)
	}
	return checks
}

func checkTimings(t Timings) []check {
	var checks []check
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
		invalid := d.value < 10*time.Millisecond || d.value > 10*time.Minute
		checks = append(checks, check{"timings." + d.field, causeIf(invalid, "must be a duration from 10ms to 10m, with a unit")})
	}
	return append(
		checks,
		check{"timings.peerTimeout", causeIf(t.PeerTimeout < 2*t.Heartbeat, "must be at least twice the heartbeat")},
		check{"timings.taskLease", causeIf(t.TaskLease < 2*t.Lease, "must be at least twice the lease")},
	)
}

func causeIf(invalid bool, cause string) string {
	if invalid {
		return cause
	}
	return ""
}

// checkName rejects dots and # because a dot ends the domain in a job's id, and #
// ends the entry's name in the holder of a lease.
func checkName(field, value string) check {
	invalid := value == "" || len(value) > 64 || strings.ContainsAny(value, "/ \t\n#.")
	return check{field, causeIf(invalid, "must have 1 to 64 characters without spaces, slashes, dots or #")}
}

func checkAddress(field, value string) check {
	_, err := netip.ParseAddrPort(value)
	return check{field, causeIf(err != nil, fmt.Sprintf("%q is not an IP address with a port", value))}
}
