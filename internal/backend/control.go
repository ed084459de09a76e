package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

// maxControlBytes bounds the body of an answer to a control request.
const maxControlBytes = 4 << 10

// Report is a server's own account of its health. It may lag or mislead.
type Report struct {
	Ready    bool
	Draining bool
	Load     float64
	// Plain says that the server does not know the control protocol; it
	// counts as ready because it answered.
	Plain bool
}

// Health asks a server for its health on a new connection.
func (c *Client) Health(ctx context.Context, target Target) (Report, error) {
	p, err := c.pool(target)
	if err != nil {
		return Report{}, notRun(model.ReasonCancelled, err)
	}
	var answer HealthResponse
	_, err = p.ask(ctx, http.MethodGet, HealthPath, &answer)
	if errors.Is(err, ErrUnsupported) {
		return Report{Ready: true, Plain: true}, nil
	}
	if err != nil {
		return Report{}, &Error{Outcome: model.OutcomeUnknown, Reason: reasonOf(err, nil), Err: err}
	}
	return Report{Ready: answer.Ready, Draining: answer.Draining, Load: answer.Load}, nil
}

// Cancel asks a server on a new connection to cancel an attempt.
// OutcomeNotRun is returned only for an attempt that Do is carrying and only
// when the process that it was sent to says so.
func (c *Client) Cancel(ctx context.Context, target Target, attempt model.AttemptID) (model.Outcome, error) {
	p, err := c.pool(target)
	if err != nil {
		return model.OutcomeUnknown, notRun(model.ReasonCancelled, err)
	}
	outcome, err := c.cancel(ctx, p, attempt, p.sentTo(attempt))
	if err != nil {
		return outcome, &Error{Outcome: outcome, Reason: reasonOf(err, nil), Err: err}
	}
	return outcome, nil
}

// cancel cancels an attempt that was sent to the process sentTo.
func (c *Client) cancel(ctx context.Context, p *pool, attempt model.AttemptID, sentTo string) (model.Outcome, error) {
	var answer StateResponse
	instance, err := p.ask(ctx, http.MethodDelete, attemptPath(attempt), &answer)
	if err != nil {
		return model.OutcomeUnknown, err
	}
	c.metrics.cancel(answer.State)
	if sentTo == "" || instance != sentTo {
		return model.OutcomeUnknown, nil
	}
	return answer.State.outcome(), nil
}

// state asks for the state of an attempt and names the answering process.
func (p *pool) state(ctx context.Context, attempt model.AttemptID) (AttemptState, string, error) {
	var answer StateResponse
	instance, err := p.ask(ctx, http.MethodGet, attemptPath(attempt), &answer)
	return answer.State, instance, err
}

func attemptPath(attempt model.AttemptID) string {
	return AttemptsPath + url.PathEscape(string(attempt))
}

// ask sends a control request on a new connection, decodes its answer and
// returns the name of the answering process.
func (p *pool) ask(ctx context.Context, method, path string, answer any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.target.Address+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := p.control.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	instance := resp.Header.Get(HeaderInstance)
	if err := checkControl(resp.StatusCode, instance); err != nil {
		return "", err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return "", errors.Wrap(err, "decode control answer")
	}
	p.sawInstance(resp.Header)
	return instance, nil
}

// checkControl tells a server without the control protocol from a failure.
func checkControl(status int, instance string) error {
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
