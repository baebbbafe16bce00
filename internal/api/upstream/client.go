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
	// maxResponseBytes limits how much of a response body is read.
	maxResponseBytes = 8 << 20
	// dialTimeout limits how long opening a connection may take.
	dialTimeout = time.Second
)

// Client calls the HTTP API of one upstream.
type Client struct {
	name    string
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the named upstream at the address (IP:port), and a
// function that closes its idle connections. The client opens at most maxConnections
// connections at a time; zero means no limit.
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

// Lease claims, renews or releases the owner's lease, or asks for the status. It
// returns ErrFenced if another holder has the lease or the epoch is no longer valid.
// After an error that is neither ErrRefused nor ErrNotSent, the outcome is unknown.
func (c *Client) Lease(ctx context.Context, request LeaseRequest) (LeaseResponse, error) {
	var response LeaseResponse
	err := c.call(ctx, "lease", "/v1/lease", request, &response)
	return response, err
}

// Start starts a task. With Wait set it returns when the task has ended, with its
// result. After an error that is neither ErrRefused nor ErrNotSent, the outcome is
// unknown.
func (c *Client) Start(ctx context.Context, request StartRequest) (TaskResponse, error) {
	return c.callTask(ctx, "start", "/v1/start", request.Task, request)
}

// Stop stops a task and returns its state. If the task has not started, the upstream
// rejects later starts of it. After an error that is neither ErrRefused nor ErrNotSent,
// the outcome is unknown.
func (c *Client) Stop(ctx context.Context, request StopRequest) (TaskResponse, error) {
	return c.callTask(ctx, "stop", "/v1/stop", request.Task, request)
}

// Result waits until the task has ended and returns its state and result. It returns
// StateUnknown at once if the upstream does not know the task.
func (c *Client) Result(ctx context.Context, request StopRequest) (TaskResponse, error) {
	return c.callTask(ctx, "result", "/v1/result", request.Task, request)
}

func (c *Client) callTask(ctx context.Context, step, path, task string, requestBody any) (TaskResponse, error) {
	var response TaskResponse
	if err := c.call(ctx, step, path, requestBody, &response); err != nil {
		return TaskResponse{}, err
	}
	if response.Task != task {
		return TaskResponse{}, fmt.Errorf("upstream %s: %s: %w: names task %q", c.name, step, ErrInvalidResponse, response.Task)
	}
	if response.State == StateCompleted && response.Digest != Digest(response.Result) {
		return TaskResponse{}, fmt.Errorf("upstream %s: %s: %w: digest does not match the result", c.name, step, ErrInvalidResponse)
	}
	return response, nil
}

// Digest returns the SHA-256 of a result in hexadecimal.
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
		// The connection may be dead; the next call must open a new one.
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
	// NopCloser hides the reader's type, so that the request has no GetBody, and no
	// idempotency header is set: net/http must never resend a start on its own.
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
			return errors.Join(ErrInvalidResponse, err)
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
		return errors.Join(ErrInvalidResponse, err)
	}
	switch response.Reason {
	case ReasonFenced, ReasonHeld:
		return ErrFenced
	default:
		return fmt.Errorf("%w: %s", ErrRefused, response.Reason)
	}
}
