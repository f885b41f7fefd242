package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// response is the answer of a registry member. The tags are the field names of the protocol.
type response struct {
	Service  string          `json:"service"`
	Epoch    string          `json:"line"`
	Version  *int64          `json:"version"`
	Document json.RawMessage `json:"document"`
}

// malformedAnswerError means that an answer is not in a known format, or is not for the client's service.
type malformedAnswerError struct{ err error }

func (e *malformedAnswerError) Error() string { return "malformed answer: " + e.err.Error() }
func (e *malformedAnswerError) Unwrap() error { return e.err }

// statusError means that a member answered with a status other than 200.
type statusError struct {
	status string
	body   []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("registry member answered with status %s: %.200s", e.status, e.body)
}

// call requests a configuration newer than the accepted version and reports to the member which version is
// applied. The member may hold the call for hold.
func (c *Client) call(ctx context.Context, member string, hold, timeout time.Duration) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := "http://" + member + "/config/" + url.PathEscape(c.cfg.Service) + "?" + c.query(hold).Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration: %w", err)
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch configuration: %w", err)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	if reply.StatusCode != http.StatusOK {
		return nil, &statusError{reply.Status, body}
	}
	return c.decode(body)
}

// query returns the query parameters of a call.
func (c *Client) query(hold time.Duration) url.Values {
	query := url.Values{
		"from":    {strconv.FormatInt(c.accepted.Version, 10)},
		"hold_ms": {strconv.FormatInt(hold.Milliseconds(), 10)},
	}
	if c.accepted.Epoch != "" {
		query.Set("line", c.accepted.Epoch)
	}
	if c.cfg.ProxyName == "" {
		return query
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	query.Set("name", c.cfg.ProxyName)
	query.Set("in_force", strconv.FormatInt(c.metrics.Version, 10))
	if c.metrics.RejectedVersion != 0 {
		query.Set("refused", strconv.FormatInt(c.metrics.RejectedVersion, 10))
		query.Set("why", c.rejectReason)
	}
	return query
}

func (c *Client) decode(body []byte) (*response, error) {
	var answer response
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, &malformedAnswerError{err}
	}
	if answer.Version == nil || *answer.Version < 0 || answer.Epoch == "" || answer.Service != c.cfg.Service {
		return nil, &malformedAnswerError{
			errors.New("version or line is missing, or the answer is for another service")}
	}
	return &answer, nil
}
