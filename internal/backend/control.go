package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// maxControlBytes bounds the response body of a control request.
const maxControlBytes = 4 << 10

// Report is the health that a server reports about itself. It may be outdated or
// wrong.
type Report struct {
	Ready    bool
	Draining bool
	// Load is the running and queued requests as a fraction of the server's
	// slots; it may exceed 1.
	Load float64
	// Plain is set for a server without the control protocol. It counts as ready
	// because it responded.
	Plain bool
}

// Health queries a server's health on a new connection. The error is an *Error.
func (c *Client) Health(ctx context.Context, target Target) (Report, error) {
	p, err := c.pool(target)
	if err != nil {
		return Report{}, notRun(model.ReasonCancelled, err)
	}
	var answer HealthResponse
	_, err = p.controlRequest(ctx, http.MethodGet, HealthPath, &answer)
	if errors.Is(err, ErrUnsupported) {
		return Report{Ready: true, Plain: true}, nil
	}
	if err != nil {
		return Report{}, &Error{Outcome: model.OutcomeUnknown, Reason: reasonOf(err, nil), Err: err}
	}
	return Report{Ready: answer.Ready, Draining: answer.Draining, Load: answer.Load}, nil
}

// Cancel cancels an attempt at a server on a new connection. It returns
// OutcomeNotRun only for an attempt that Do has in progress and only if the
// server process that the attempt was sent to confirms it.
func (c *Client) Cancel(ctx context.Context, target Target, attempt model.AttemptID) (model.Outcome, error) {
	p, err := c.pool(target)
	if err != nil {
		return model.OutcomeUnknown, notRun(model.ReasonCancelled, err)
	}
	outcome, err := c.cancel(ctx, p, attempt, p.attemptInstance(attempt))
	if err != nil {
		return outcome, &Error{Outcome: outcome, Reason: reasonOf(err, nil), Err: err}
	}
	return outcome, nil
}

// cancel cancels an attempt that was sent to the server instance sentTo. The
// response of any other instance proves nothing and yields OutcomeUnknown.
func (c *Client) cancel(ctx context.Context, p *pool, attempt model.AttemptID, sentTo string) (model.Outcome, error) {
	var answer StateResponse
	instance, err := p.controlRequest(ctx, http.MethodDelete, attemptPath(attempt), &answer)
	if err != nil {
		return model.OutcomeUnknown, err
	}
	c.metrics.countCancellation(answer.State)
	if sentTo == "" || instance != sentTo {
		return model.OutcomeUnknown, nil
	}
	return answer.State.outcome(), nil
}

// state returns the state of an attempt and the instance that reported it.
func (p *pool) state(ctx context.Context, attempt model.AttemptID) (AttemptState, string, error) {
	var answer StateResponse
	instance, err := p.controlRequest(ctx, http.MethodGet, attemptPath(attempt), &answer)
	return answer.State, instance, err
}

func attemptPath(attempt model.AttemptID) string {
	return AttemptsPath + url.PathEscape(string(attempt))
}

// controlRequest sends a control request on a new connection, decodes the JSON
// response into answer and returns the instance that responded.
func (p *pool) controlRequest(ctx context.Context, method, path string, answer any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.target.Address+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := p.control.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if !header.ValidNames(resp.Header) {
		return "", errInvalidField
	}
	instance := resp.Header.Get(HeaderInstance)
	if err := checkControlResponse(resp.StatusCode, instance); err != nil {
		return "", err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return "", errors.Wrap(err, "decode control answer")
	}
	p.recordInstance(resp.Header)
	return instance, nil
}

// checkControlResponse returns ErrUnsupported for a server without the control
// protocol and errControl for any other failure.
func checkControlResponse(status int, instance string) error {
	switch status {
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return errors.Wrapf(ErrUnsupported, "status %d", status)
	case http.StatusOK:
		if instance == "" {
			return ErrUnsupported
		}
		return nil
	default:
		return errors.Wrapf(errControl, "status %d", status)
	}
}
