package once

import (
	"sync"

	"fuchsiaspar/internal/model"
)

// TokenCache holds the newest known token of each VM that this VM relays to. The
// zero value is empty and ready for use. It is safe for concurrent use.
type TokenCache struct {
	mu     sync.Mutex
	newest map[model.VMID]Token
}

// Set stores a token that vm issued. It ignores malformed tokens and tokens that
// are not newer than the known one of the same process.
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

// Get returns the newest token of vm, or an empty one if none is known.
func (t *TokenCache) Get(vm model.VMID) Token {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest[vm]
}

// Retain removes the tokens of all VMs that are not in vms.
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
