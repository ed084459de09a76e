package entry

import (
	"context"
	"net/http"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

// tokenTimeout is the timeout of a request for a token.
const tokenTimeout = time.Second

// relayToken returns a token of vm for a relayed attempt. Requests whose body can be
// sent only once ask for a fresh one, because a rejection for a stale token would use
// up their only try.
func (s *Server) relayToken(ctx context.Context, vm model.VMID, fresh bool) (once.Token, error) {
	if token := s.tokens.Get(vm); token != "" && !fresh {
		return token, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenTimeout)
	defer cancel()
	var token once.Token
	if err := s.options.Links.Call(ctx, vm, peer.KindToken, nil, &token); err != nil {
		return "", errors.Wrap(err, "ask for relay token")
	}
	s.tokens.Set(vm, token)
	return token, nil
}

// storeToken stores the token in a response of vm.
func (s *Server) storeToken(vm model.VMID, h http.Header) {
	if token := h.Get(header.RelayToken); token != "" {
		s.tokens.Set(vm, once.Token(token))
	}
}

// handleTokenRequest issues a token to an entry VM that is about to relay to this one.
func (s *Server) handleTokenRequest(context.Context, model.VMID, []byte) (any, error) {
	return s.options.Attempts.Token(time.Now()), nil
}
