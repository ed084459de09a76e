package once

import (
	"sync"

	"fuchsiaspar/internal/model"
)

// Tokens keeps the newest token of each far side at an origin. It is safe for
// concurrent use.
type TokenCache struct {
	mu     sync.Mutex
	newest map[model.VMID]Token
}

// Set notes a token that vm handed out. An older token of the same process is
// ignored.
func (t *TokenCache) Set(vm model.VMID, token Token) {
	incarnation, issuedAt, ok := parseToken(model.AttemptID(token + tokenSeparator))
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	knownInc, knownIssuedAt, known := parseToken(model.AttemptID(t.newest[vm] + tokenSeparator))
	if known && knownInc == incarnation && knownIssuedAt >= issuedAt {
		return
	}
	if t.newest == nil {
		t.newest = make(map[model.VMID]Token)
	}
	t.newest[vm] = token
}

// Get returns the newest token of vm, or an empty one when none is known.
func (t *TokenCache) Get(vm model.VMID) Token {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest[vm]
}

// Retain forgets the tokens of all VMs that are not listed.
func (t *TokenCache) Retain(vms []model.VMID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[model.VMID]Token, len(vms))
	for _, vm := range vms {
		if token, ok := t.newest[vm]; ok {
			kept[vm] = token
		}
	}
	t.newest = kept
}
