package front

import (
	"io"
	"net/http"
	"strconv"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/upstream"
	"fuchsiaspar/platform"
)

const (
	// keptAnswer is the largest answer that is read whole before any of it is
	// handed on, so that one that breaks off can be repeated elsewhere.
	keptAnswer = 512 << 10
	// retryAfterSoon is what refused clients are told while the VM expects
	// room within moments.
	retryAfterSoon = "0.3"
)

// handOn gives the client the server's answer. A failure of the server is
// repeated elsewhere if the request allows it.
func (q *request) handOn(choice pick.Choice, answer *upstream.Answer, report *pick.Report) verdict {
	kept, whole, err := readKept(answer)
	if err != nil {
		return q.cutOff(choice, err, report)
	}
	if !whole {
		q.stream(choice, answer, kept, report)
		return verdictDone
	}
	if answer.Status < http.StatusInternalServerError {
		q.done(choice, pick.Answered, report)
		q.send(answer, kept, true)
		return verdictDone
	}
	q.done(choice, pick.Failed, report)
	q.maybeRun = true
	if q.route.Kind.Repeatable() && q.mayRepeat() == "" {
		q.logAttempt("server failed", "status", answer.Status)
		return verdictRepeat
	}
	q.send(answer, kept, true)
	return verdictDone
}

// stream hands on an answer that is too large to keep. One that breaks off
// breaks off at the client as well.
func (q *request) stream(choice pick.Choice, answer *upstream.Answer, kept []byte, report *pick.Report) {
	complete := q.send(answer, kept, false)
	outcome := pick.Answered
	if !complete {
		outcome = pick.Failed
	}
	q.done(choice, outcome, report)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

func (q *request) cutOff(choice pick.Choice, err error, report *pick.Report) verdict {
	q.maybeRun = true
	outcome := pick.Failed
	if q.r.Context().Err() != nil {
		outcome = pick.Abandoned
	}
	q.done(choice, outcome, report)
	q.logAttempt("answer cut off", "cause", err)
	return verdictFailed
}

// readKept reads an answer up to keptAnswer. whole says that this was all.
func readKept(answer *upstream.Answer) (kept []byte, whole bool, err error) {
	if answer.Length > keptAnswer {
		return nil, false, nil
	}
	size := answer.Length
	if size < 0 {
		size = 4 << 10
	}
	kept = make([]byte, 0, size+1)
	for len(kept) <= keptAnswer {
		if len(kept) == cap(kept) {
			kept = append(kept, 0)[:len(kept)]
		}
		n, err := answer.Body.Read(kept[len(kept):cap(kept)])
		kept = kept[:len(kept)+n]
		if err == io.EOF {
			return kept, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return kept, false, nil
}

// send writes the answer and reports whether all of it was written.
func (q *request) send(answer *upstream.Answer, kept []byte, whole bool) bool {
	h := q.w.Header()
	for name, values := range header.EndToEnd(answer.Header) {
		h[name] = values
	}
	delete(h, "Keep-Alive")
	if _, ok := h["Content-Type"]; !ok {
		// Keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	if whole && q.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(kept)))
	}
	q.w.WriteHeader(answer.Status)
	_, err := q.w.Write(kept)
	if err == nil && !whole {
		_, err = io.Copy(q.w, answer.Body)
		answer.Body.Close()
	}
	q.logServed(answer.Status, err)
	return err == nil
}

// giveUp ends a request that no server answered. 503 says that it has not run.
func (q *request) giveUp(reason string) {
	if q.r.Context().Err() != nil {
		q.logFailed("client left")
		panic(http.ErrAbortHandler)
	}
	switch {
	case q.maybeRun && reason == reasonTimeout:
		q.refuse(http.StatusGatewayTimeout, reason)
	case q.maybeRun:
		q.refuse(http.StatusBadGateway, reason)
	default:
		q.refuse(http.StatusServiceUnavailable, reason)
	}
}

// retryAfter tells a refused client when to come back. One whose request
// yields to urgent ones comes back once a flood may have passed.
func (q *request) retryAfter(reason string) string {
	if reason != string(pick.Yield) {
		return retryAfterSoon
	}
	return strconv.FormatFloat(q.route.TargetLatency.Seconds(), 'f', 1, 64)
}

// refuse answers in place of a server.
func (q *request) refuse(status int, reason string) {
	h := q.w.Header()
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(platform.HeaderRequestID, q.id)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", q.retryAfter(reason))
	}
	message := `{"error":"` + reason + `"}` + "\n"
	h.Set("Content-Length", strconv.Itoa(len(message)))
	q.w.WriteHeader(status)
	// The client may have left; the refusal is logged either way.
	_, _ = io.WriteString(q.w, message)
	q.logRefused(status, reason)
}
