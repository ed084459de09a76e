package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/once"
	"fuchsiaspar/internal/peer"

	"github.com/pkg/errors"
)

// tokenUse is how long a token is used after it arrived. It must be shorter
// than the validity of tokens at their issuers.
const tokenUse = 5 * time.Second

// tokenCall bounds the call for a token.
const tokenCall = time.Second

// tokens holds the newest relay token of each entry VM.
type tokens struct {
	mu   sync.Mutex
	byVM map[model.VMID]heldToken
}

type heldToken struct {
	token once.Token
	until time.Time
}

func newTokens() *tokens {
	return &tokens{byVM: make(map[model.VMID]heldToken)}
}

func (t *tokens) get(now time.Time, vm model.VMID) (once.Token, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, ok := t.byVM[vm]
	if !ok || now.After(held.until) {
		return "", false
	}
	return held.token, true
}

func (t *tokens) put(now time.Time, vm model.VMID, token once.Token) {
	if token == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byVM[vm] = heldToken{token: token, until: now.Add(tokenUse)}
}

func (t *tokens) drop(vm model.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byVM, vm)
}

// token returns a fresh token of vm, asking for one when none is held.
func (s *Server) token(ctx context.Context, vm model.VMID) (once.Token, error) {
	sent := time.Now()
	if token, ok := s.tokens.get(sent, vm); ok {
		return token, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tokenCall)
	defer cancel()
	var token once.Token
	if err := s.options.Links.Call(ctx, vm, peer.KindToken, nil, &token); err != nil {
		return "", errors.Wrap(err, "ask for relay token")
	}
	s.tokens.put(sent, vm, token)
	return token, nil
}

// noteToken keeps the token that came with an answer of vm.
func (s *Server) noteToken(sent time.Time, vm model.VMID, h http.Header) {
	s.tokens.put(sent, vm, once.Token(h.Get(header.RelayToken)))
}

// giveToken answers an entry VM that is about to relay here.
func (s *Server) giveToken(context.Context, model.VMID, []byte) (any, error) {
	return s.options.Attempts.Token(time.Now()), nil
}
