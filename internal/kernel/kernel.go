// Package kernel manages the lifecycle of the services of a process. Services
// are registered under dotted names such as "quota.limits", start in the order
// of registration, stop in reverse order and can be looked up by name. The
// kernel requires no interface of a service: it calls Start and Stop on those
// that implement Starter and Stopper.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Errors returned by a Kernel, wrapped with the service name where there is
// one. Test for them with errors.Is.
var (
	// ErrDuplicate is returned by Register for a name that is already in use.
	ErrDuplicate = errors.New("kernel: service name already registered")
	// ErrNotFound is returned by Find for a name that is not registered.
	ErrNotFound = errors.New("kernel: no such service")
	// ErrType is returned by Find for a service that is not of the requested
	// type.
	ErrType = errors.New("kernel: service has another type")
	// ErrStarted is returned by Register and Start once the kernel has started.
	ErrStarted = errors.New("kernel: already started")
)

// Starter is implemented by services that need to be started. Start returns
// once the service is ready; ctx bounds only the startup, not the lifetime.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is implemented by services that need to be stopped. ctx bounds the
// shutdown.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the services of a process in registration order. It is safe for
// concurrent use.
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

// Register adds a service under name. It starts after all services registered
// before it and stops before them. Register returns ErrDuplicate for a name in
// use and ErrStarted after Start.
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

// Find returns the service registered under name as a T. It returns ErrNotFound
// or, for a service of another type, ErrType.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	service, ok := k.services[name]
	if !ok {
		return zero, errors.Wrap(ErrNotFound, name)
	}
	typed, ok := service.(T)
	if !ok {
		return zero, errors.Wrapf(ErrType, "%s is a %T", name, service)
	}
	return typed, nil
}

// Names returns the service names in registration order.
func (k *Kernel) Names() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.order...)
}

// Start starts the services in registration order. If one fails, Start stops
// those already running and returns the error. A kernel starts only once.
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
		if err := k.startService(ctx, name); err != nil {
			_ = k.Stop(ctx)
			return errors.Wrapf(err, "start %s", name)
		}
	}
	return nil
}

func (k *Kernel) startService(ctx context.Context, name string) error {
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

// Stop stops the running services in reverse order. It continues after an error
// and returns the first one.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	running := k.running
	k.running = nil
	k.mu.Unlock()
	var first error
	for i := len(running) - 1; i >= 0; i-- {
		err := k.stopService(ctx, running[i])
		if err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", running[i])
		}
	}
	return first
}

func (k *Kernel) stopService(ctx context.Context, name string) error {
	k.mu.Lock()
	service := k.services[name]
	k.mu.Unlock()
	if s, ok := service.(Stopper); ok {
		return s.Stop(ctx)
	}
	return nil
}
