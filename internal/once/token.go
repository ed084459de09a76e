package once

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	attemptRandomBytes = 12
	// tokenSeparator joins the parts of tokens and attempt identifiers.
	tokenSeparator = "-"
	hexBase        = 16
)

// Token proves that the VM which receives relayed attempts was running when it
// issued the token. It consists of the VM's incarnation and the issue time on the
// clock of its process. The VM sends tokens on request and with each relay
// response, also when it rejects an attempt; the origin puts a recent one into
// each attempt identifier.
type Token string

// NewAttemptID generates the identifier of an attempt that is relayed to the VM
// that issued token. With an empty token, the identifier is for an attempt that is
// not relayed.
func NewAttemptID(token Token, rand io.Reader) (model.AttemptID, error) {
	var raw [attemptRandomBytes]byte
	if _, err := io.ReadFull(rand, raw[:]); err != nil {
		return "", errors.Wrap(err, "once: generate attempt identifier")
	}
	random := hex.EncodeToString(raw[:])
	if token == "" {
		return model.AttemptID(random), nil
	}
	return model.AttemptID(string(token) + tokenSeparator + random), nil
}

func newToken(incarnation model.Incarnation, issuedAt time.Duration) Token {
	return Token(strconv.FormatUint(uint64(incarnation), hexBase) + tokenSeparator +
		strconv.FormatInt(int64(issuedAt), hexBase))
}

// parseToken returns the parts of the token in an attempt identifier. ok is false
// if the identifier has no valid token.
func parseToken(attempt model.AttemptID) (incarnation model.Incarnation, issuedAt time.Duration, ok bool) {
	first, rest, ok := strings.Cut(string(attempt), tokenSeparator)
	if !ok {
		return 0, 0, false
	}
	second, _, ok := strings.Cut(rest, tokenSeparator)
	if !ok {
		return 0, 0, false
	}
	inc, err := strconv.ParseUint(first, hexBase, 64)
	if err != nil {
		return 0, 0, false
	}
	offset, err := strconv.ParseInt(second, hexBase, 64)
	if err != nil || offset < 0 {
		return 0, 0, false
	}
	return model.Incarnation(inc), time.Duration(offset), true
}
