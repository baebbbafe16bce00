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

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 16 << 20

// Client calls the platform's HTTP API. It implements Store and Directory.
type Client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

// NewClient returns a client for the platform at the address (IP:port), and a
// function that closes its idle connections. Each call takes at most the timeout; a
// watch takes at most its wait time longer.
func NewClient(address string, timeout time.Duration) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	c := &Client{
		baseURL: "http://" + address,
		timeout: timeout,
		http:    &http.Client{Transport: transport},
	}
	return c, transport.CloseIdleConnections
}

// Get returns the key with its value. It returns ErrNotFound if the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, error) {
	var kv KeyValue
	err := c.call(ctx, "get", http.MethodGet, "/v1/kv?"+url.Values{"key": {key}}.Encode(), nil, &kv, 0)
	return kv, err
}

// List returns all keys that have the prefix, with their values.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var listing Listing
	err := c.call(ctx, "list", http.MethodGet, "/v1/list?"+url.Values{"prefix": {prefix}}.Encode(), nil, &listing, 0)
	return listing, err
}

// Watch returns the keys that have the prefix and were written after the revision, with
// their values. It waits at most the given time for the first one, and may return none.
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

// Write performs a compare-and-swap of one key and returns the revision of the write.
// After an error other than ErrConflict the outcome is unknown.
func (c *Client) Write(ctx context.Context, request WriteRequest) (int64, error) {
	var response WriteResponse
	err := c.call(ctx, "write", http.MethodPost, "/v1/kv", request, &response, 0)
	return response.Revision, err
}

// VMs returns all VMs in the directory.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.call(ctx, "list VMs", http.MethodGet, "/v1/vms", nil, &vms, 0)
	return vms, err
}

func (c *Client) call(ctx context.Context, step, method, path string, requestBody, responseBody any, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	err := c.roundTrip(ctx, method, path, requestBody, responseBody)
	if err != nil {
		// After a timeout, the connection may be dead; the next call must open a
		// new one.
		if ctx.Err() != nil {
			c.http.CloseIdleConnections()
		}
		return fmt.Errorf("platform %s: %s: %w", c.baseURL, step, err)
	}
	return nil
}

func (c *Client) roundTrip(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var body io.Reader
	if requestBody != nil {
		encoded, err := json.Marshal(requestBody)
		if err != nil {
			return err
		}
		// NopCloser hides the reader's type, so that net/http does not resend a
		// write on its own.
		body = io.NopCloser(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
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
		return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(responseBody)
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
}
