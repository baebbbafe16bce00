package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxBody is the largest answer of the platform that is read, in bytes.
const maxBody = 16 << 20

// Client speaks HTTP to the platform. It implements Store and Directory.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client of the platform at the address (IP:port), whose
// calls take at most the timeout besides the wait of a watch, and a clean-up
// function that closes its connections.
func NewClient(address string, timeout time.Duration) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	c := &Client{
		base:    "http://" + address,
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}
	return c, transport.CloseIdleConnections
}

// Get returns the key's entry, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var entry Entry
	err := c.call(ctx, "get", http.MethodGet, "/v1/kv?"+url.Values{"key": {key}}.Encode(), nil, &entry, 0)
	return entry, err
}

// List returns all entries below the prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.call(ctx, "list", http.MethodGet, "/v1/list?"+url.Values{"prefix": {prefix}}.Encode(), nil, &listing, 0)
	return listing, err
}

// Watch returns entries below the prefix written after the revision, blocking
// up to wait for the first one.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Listing, error) {
	query := url.Values{
		"prefix":     {prefix},
		"after":      {strconv.FormatInt(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var listing Listing
	err := c.call(ctx, "watch", http.MethodGet, "/v1/watch?"+query.Encode(), nil, &listing, wait)
	return listing, err
}

// Write performs a compare-and-swap of one key.
func (c *Client) Write(ctx context.Context, request WriteRequest) (int64, error) {
	var response WriteResponse
	err := c.call(ctx, "write", http.MethodPost, "/v1/kv", request, &response, 0)
	return response.Revision, err
}

// VMs returns the directory's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, "list VMs", http.MethodGet, "/v1/vms", nil, &vms, 0)
	return vms, err
}

func (c *Client) call(ctx context.Context, step, method, path string, in, out any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	err := c.exchange(ctx, method, path, in, out)
	if err != nil {
		// A connection that went silent must not be used for the next call.
		if ctx.Err() != nil {
			c.http.CloseIdleConnections()
		}
		return fmt.Errorf("platform %s: %s: %w", c.base, step, err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		// Hiding the buffer's type keeps net/http from resending a write by itself.
		body = io.NopCloser(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(out)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
}
