// Package kernel loads, starts and stops the services of one process. A
// service is registered under a dotted name; others find it by that name. The
// kernel knows nothing of what a service does.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Errors of the kernel. Test for them with errors.Is.
var (
	// ErrDuplicate reports a name that is registered already.
	ErrDuplicate = errors.New("kernel: service name already registered")
	// ErrNotFound reports a name that no service has.
	ErrNotFound = errors.New("kernel: no such service")
	// ErrType reports a service of another type than the caller asked for.
	ErrType = errors.New("kernel: service has another type")
	// ErrStarted reports a change to a kernel that has started.
	ErrStarted = errors.New("kernel: already started")
)

// Starter is a service that has something to start. Start returns once the
// service works; ctx bounds the start only.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a service that has something to stop. ctx bounds the stop.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the services of one process in the order of registration.
type Kernel struct {
	mu       sync.Mutex
	order    []string
	services map[string]any
	running  []string
	started  bool
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{services: make(map[string]any)}
}

// Register adds a service under name. A service starts after all those
// registered before it and stops before them.
func (k *Kernel) Register(name string, service any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.started {
		return errors.Wrap(ErrStarted, name)
	}
	if _, taken := k.services[name]; taken {
		return errors.Wrap(ErrDuplicate, name)
	}
	k.services[name] = service
	k.order = append(k.order, name)
	return nil
}

// Find returns the service called name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var none T
	service, ok := k.services[name]
	if !ok {
		return none, errors.Wrap(ErrNotFound, name)
	}
	typed, ok := service.(T)
	if !ok {
		return none, errors.Wrapf(ErrType, "%s is a %T", name, service)
	}
	return typed, nil
}

// Names returns the registered names in order.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.order...)
}

// Start starts every service in order. When one fails, those already running
// are stopped and the failure is returned.
func (k *Kernel) Start(ctx context.Context) error {
	k.mu.Lock()
	if k.started {
		k.mu.Unlock()
		return ErrStarted
	}
	k.started = true
	order := append([]string(nil), k.order...)
	k.mu.Unlock()
	for _, name := range order {
		if err := k.startOne(ctx, name); err != nil {
			_ = k.Stop(ctx)
			return errors.Wrapf(err, "start %s", name)
		}
	}
	return nil
}

func (k *Kernel) startOne(ctx context.Context, name string) error {
	k.mu.Lock()
	service := k.services[name]
	k.mu.Unlock()
	if s, ok := service.(Starter); ok {
		if err := s.Start(ctx); err != nil {
			return err
		}
	}
	k.mu.Lock()
	k.running = append(k.running, name)
	k.mu.Unlock()
	return nil
}

// Stop stops the running services in reverse order. It goes on after a
// failure and returns the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	running := k.running
	k.running = nil
	k.mu.Unlock()
	var first error
	for i := len(running) - 1; i >= 0; i-- {
		err := k.stopOne(ctx, running[i])
		if err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", running[i])
		}
	}
	return first
}

func (k *Kernel) stopOne(ctx context.Context, name string) error {
	k.mu.Lock()
	service := k.services[name]
	k.mu.Unlock()
	if s, ok := service.(Stopper); ok {
		return s.Stop(ctx)
	}
	return nil
}
