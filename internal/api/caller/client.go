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

// Client calls the HTTP API of one entry with one API key.
type Client struct {
	baseURL string
	key     string
	http    *http.Client
}

// NewClient returns a client for the entry at the address (IP:port) and a function
// that closes its idle connections. A key that is not empty is sent with each
// request.
func NewClient(address, key string) (*Client, func()) {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	c := &Client{
		baseURL: "http://" + address,
		key:     key,
		http:    &http.Client{Transport: transport},
	}
	return c, transport.CloseIdleConnections
}

// StatusError is an error response of the entry: its HTTP status and its body. The
// problem is empty if the body is not JSON.
type StatusError struct {
	Status  int
	Problem Problem
}

// Error returns the HTTP status and the error text of the problem.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Problem.Error)
}

// ErrNoResponse reports that no complete response came from the entry. The request
// may have taken effect.
var ErrNoResponse = errors.New("no response from the entry")

// Do sends a request with the method, path and JSON body and decodes the JSON
// response into responseBody. A nil requestBody sends no body. A response with a
// status of 400 or above is returned as a *StatusError, unless it is JSON without an
// error text: such a response carries a fate and is decoded. If no complete response
// arrives, the error wraps ErrNoResponse.
func (c *Client) Do(ctx context.Context, method, path string, requestBody, responseBody any) error {
	var body io.Reader
	if requestBody != nil {
		encoded, err := json.Marshal(requestBody)
		if err != nil {
			return err
		}
		// NopCloser hides the reader's type, so that net/http does not resend the
		// request on its own.
		body = io.NopCloser(bytes.NewReader(encoded))
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, body)
	if err != nil {
		return err
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Join(ErrNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Join(ErrNoResponse, err)
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
	return json.Unmarshal(encoded, responseBody)
}

// Request runs a quick request and returns its fate and result. For the errors see Do.
func (c *Client) Request(ctx context.Context, request Request) (Answer, error) {
	var answer Answer
	err := c.Do(ctx, http.MethodPost, "/v1/requests", request, &answer)
	return answer, err
}

// Submit submits a job and returns its status. For the errors see Do.
func (c *Client) Submit(ctx context.Context, job Job) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodPost, "/v1/jobs", job, &status)
	return status, err
}

// Job returns the status of the job with the id. For the errors see Do.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodGet, "/v1/jobs/"+id, nil, &status)
	return status, err
}

// Cancel cancels the job with the id and returns its status. For the errors see Do.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var status JobStatus
	err := c.Do(ctx, http.MethodDelete, "/v1/jobs/"+id, nil, &status)
	return status, err
}
