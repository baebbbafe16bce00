package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/citronbay/citronbay/internal/api/caller"
	"github.com/citronbay/citronbay/internal/api/operator"
)

// previewRequest is a request that is explained, not sent.
type previewRequest struct {
	route string // host and path
	team  string
	file  string // of the body
}

// previewError reports that a request cannot be explained.
type previewError struct {
	exitCode int
	problem  string
}

// Error returns the problem.
func (e *previewError) Error() string {
	return e.problem
}

// previewExitCodes are the exit codes for the status codes of a node.
var previewExitCodes = map[int]int{
	http.StatusBadRequest:         ExitInvalidBody,
	http.StatusNotFound:           ExitNoRoute,
	http.StatusServiceUnavailable: ExitNoOwner,
}

// explainRequest prints where the request would go now.
func explainRequest(s *session, request previewRequest, stdin io.Reader) error {
	body, err := readBody(request.file, stdin)
	if err != nil {
		return err
	}
	preview, err := askPreview(s, request, body)
	if err != nil {
		return err
	}
	return printResult(s, preview, previewRows(preview))
}

func readBody(file string, stdin io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

// askPreview asks the node at the session's address.
func askPreview(s *session, request previewRequest, body []byte) (operator.Preview, error) {
	var preview operator.Preview
	ctx, cancel := context.WithTimeout(s.ctx, *s.timeout)
	defer cancel()
	host, path, _ := strings.Cut(request.route, "/")
	query := url.Values{
		"host": {host},
		"path": {"/" + path},
		"team": {request.team},
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+*s.address+"/explain?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return preview, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return preview, errors.Join(caller.ErrNoResponse, err)
	}
	defer func() { _ = response.Body.Close() }()
	encoded, err := io.ReadAll(response.Body)
	if err != nil {
		return preview, errors.Join(caller.ErrNoResponse, err)
	}
	if response.StatusCode == http.StatusOK {
		return preview, json.Unmarshal(encoded, &preview)
	}
	var problem caller.Problem
	if json.Unmarshal(encoded, &problem) != nil || problem.Error == "" {
		return preview, fmt.Errorf("status %d: is --address the metrics address of a node?", response.StatusCode)
	}
	code, ok := previewExitCodes[response.StatusCode]
	if !ok {
		code = ExitFailure
	}
	return preview, &previewError{
		exitCode: code,
		problem:  problem.Error,
	}
}

// previewRows returns the preview as a table.
func previewRows(p operator.Preview) [][]string {
	rows := [][]string{
		{"OWNER", p.Owner},
		{"QUEUE", p.Queue},
		{"TEAM", p.Team},
		{"AGREEMENT", fmt.Sprint(p.AgreementVersion)},
		{"ACCEPTED", fmt.Sprint(p.Accepted)},
	}
	if p.KnownJob {
		rows = append(rows, []string{"KNOWN JOB", "a job has this id: the answer is that of its first submission"})
	}
	if !p.Accepted {
		rows = append(rows, []string{"REASON", p.Reason}, []string{"RETRY AFTER", fmt.Sprintf("%d s", p.RetryAfterSeconds)})
	}
	if p.EstimateMillis > 0 {
		rows = append(rows, []string{"DONE IN ABOUT", fmt.Sprintf("%.1f s", float64(p.EstimateMillis)/1000)})
	}
	rows = append(rows, []string{"OVER RATE", fmt.Sprint(p.OverRate)})
	for n, step := range p.Steps {
		rows = append(rows, stepRows(n, step)...)
	}
	return rows
}

func stepRows(number int, step operator.PreviewStep) [][]string {
	rows := [][]string{{
		fmt.Sprintf("STEP %d", number),
		fmt.Sprintf("%d of %d tasks start, %d steps go first, %d workers have room", step.Starts, step.Tasks, step.Ahead, step.CandidateCount),
	}}
	if step.WaitCause != "" {
		rows = append(rows, []string{"  WAITS", step.WaitCause + ": " + step.WaitReason})
	}
	var excluded []string
	for _, cause := range slices.Sorted(maps.Keys(step.Excluded)) {
		excluded = append(excluded, fmt.Sprintf("%s %d", cause, step.Excluded[cause]))
	}
	if len(excluded) > 0 {
		rows = append(rows, []string{"  RULED OUT", strings.Join(excluded, ", ")})
	}
	for n, c := range step.Candidates {
		rows = append(rows, []string{
			fmt.Sprintf("  CANDIDATE %d", n+1),
			fmt.Sprintf("%s, rack %s: %d start, %d fit, %d millicores free, cost %d", c.Worker, c.Rack, c.Starts, c.Fits, c.FreeMilliCores, c.Cost),
		})
	}
	return rows
}
