package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Client speaks HTTP to an entry, with a key.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client of the entry at the address (IP:port) that shows
// the key, if it is not empty, and a clean-up function that closes its connections.
func NewClient(address, key string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	c := &Client{
		base: "http://" + address,
		key:  key,
		http: &http.Client{Transport: transport},
	}
	return c, transport.CloseIdleConnections
}

// StatusError is an answer that reports a problem.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error returns the status and the problem.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Problem.Error)
}

// ErrUnreached reports that no answer came from the entry.
var ErrUnreached = errors.New("the entry cannot be reached")

// Do sends the message with the method to the path and decodes the answer. An
// answer that carries a fate is decoded whatever its status; any other with a
// status of 400 or more is returned as a StatusError.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = io.NopCloser(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return err
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Join(ErrUnreached, err)
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Join(ErrUnreached, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		var problem Problem
		if json.Unmarshal(encoded, &problem) != nil || problem.Error != "" {
			return &StatusError{
				Status:  response.StatusCode,
				Problem: problem,
			}
		}
	}
	return json.Unmarshal(encoded, out)
}

// Request runs a quick request and returns its fate.
func (c *Client) Request(ctx context.Context, request Request) (Answer, error) {
	var answer Answer
	err := c.Do(ctx, http.MethodPost, "/v1/requests", request, &answer)
	return answer, err
}

// Submit hands in a job and returns its status.
func (c *Client) Submit(ctx context.Context, job Job) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodPost, "/v1/jobs", job, &status)
	return status, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &status)
	return status, err
}

// Cancel stops a job and returns its status.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodDelete, "/v1/jobs/"+id, nil, &status)
	return status, err
}
