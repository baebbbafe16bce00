package upstream

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	// maxResponseBytes is the largest answer of an upstream that is read, in bytes.
	maxResponseBytes = 8 << 20
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
)

// Client speaks HTTP to one upstream.
type Client struct {
	name    string
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the named upstream at the address (IP:port)
// that opens at most the given number of connections, and a clean-up function
// that closes them. Zero connections means no bound.
func NewClient(name, address string, maxConnections int) (*Client, func()) {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c := &Client{
		name:    name,
		baseURL: "http://" + address,
		http:    &http.Client{Transport: transport},
	}
	return c, transport.CloseIdleConnections
}

// Lease claims, renews or releases the owner's lease. It returns ErrFenced
// when another holder has it.
func (c *Client) Lease(ctx context.Context, request LeaseRequest) (LeaseResponse, error) {
	var response LeaseResponse
	err := c.call(ctx, "lease", "/v1/lease", request, &response)
	return response, err
}

// Start starts a task, and with Wait set returns its whole result. An error
// that is neither ErrRefused nor ErrNotSent leaves the outcome unknown.
func (c *Client) Start(ctx context.Context, request StartRequest) (TaskResponse, error) {
	return c.callTask(ctx, "start", "/v1/start", request.Task, request)
}

// Stop stops a task and returns its state; a task that had not begun is
// refused from then on.
func (c *Client) Stop(ctx context.Context, request StopRequest) (TaskResponse, error) {
	return c.callTask(ctx, "stop", "/v1/stop", request.Task, request)
}

// Result waits for the end of a task that runs, until the context ends, and
// returns its state and result.
func (c *Client) Result(ctx context.Context, request StopRequest) (TaskResponse, error) {
	return c.callTask(ctx, "result", "/v1/result", request.Task, request)
}

func (c *Client) callTask(ctx context.Context, step, path, task string, requestBody any) (TaskResponse, error) {
	var response TaskResponse
	if err := c.call(ctx, step, path, requestBody, &response); err != nil {
		return TaskResponse{}, err
	}
	if response.Task != task {
		return TaskResponse{}, fmt.Errorf("upstream %s: %s: %w: it is for task %q", c.name, step, ErrAnswer, response.Task)
	}
	if response.State == StateCompleted && response.Digest != Digest(response.Result) {
		return TaskResponse{}, fmt.Errorf("upstream %s: %s: %w: digest differs", c.name, step, ErrAnswer)
	}
	return response, nil
}

// Digest returns the hexadecimal SHA-256 of a result.
func Digest(result []byte) string {
	sum := sha256.Sum256(result)
	return hex.EncodeToString(sum[:])
}

func (c *Client) call(ctx context.Context, step, path string, requestBody, responseBody any) error {
	err := c.roundTrip(ctx, path, requestBody, responseBody)
	if err == nil {
		return nil
	}
	if !errors.Is(err, ErrRefused) {
		// A connection that went silent must not be used for the next call.
		c.http.CloseIdleConnections()
	}
	return fmt.Errorf("upstream %s: %s: %w", c.name, step, err)
}

func (c *Client) roundTrip(ctx context.Context, path string, requestBody, responseBody any) error {
	encoded, err := json.Marshal(requestBody)
	if err != nil {
		return err
	}
	var gotConnection atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) },
	})
	// A body without GetBody, and no idempotency header: net/http must never
	// resend a start by itself.
	body := io.NopCloser(bytes.NewReader(encoded))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("User-Agent", "")
	request.ContentLength = int64(len(encoded))
	response, err := c.http.Do(request)
	if err != nil && !gotConnection.Load() {
		return errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes))
	switch response.StatusCode {
	case http.StatusOK:
		if err := decoder.Decode(responseBody); err != nil {
			return errors.Join(ErrAnswer, err)
		}
		return nil
	case http.StatusConflict:
		return refusalError(decoder)
	default:
		return fmt.Errorf("status %d", response.StatusCode)
	}
}

func refusalError(decoder *json.Decoder) error {
	var response TaskResponse
	if err := decoder.Decode(&response); err != nil {
		return errors.Join(ErrAnswer, err)
	}
	switch response.Reason {
	case ReasonFenced, ReasonHeld:
		return ErrFenced
	default:
		return fmt.Errorf("%w: %s", ErrRefused, response.Reason)
	}
}
