package demo

import (
	"context"
	"math/rand"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/daemon"
	"fuchsiaspar/internal/kernel"
	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	// adoptTimeout bounds the wait until a change is in force everywhere.
	adoptTimeout = 10 * time.Second
	// adoptPoll is how often the wait looks.
	adoptPoll = 20 * time.Millisecond
	// settleMargin lets loads and grants spread, after the changeover of caps,
	// before the first request.
	settleMargin = time.Second
)

// errNotAdopted reports entry VMs that did not adopt a revision in time.
var errNotAdopted = errors.New("configuration is not in force everywhere")

// errNoDaemon reports an entry VM that runs the baseline.
var errNoDaemon = errors.New("no daemon runs on this entry VM")

// changeID draws the id of a change.
func (f *fleet) changeID() config.ChangeID {
	return config.NewChangeID(rand.New(rand.NewSource(time.Now().UnixNano())))
}

// configOf returns the configuration service of an entry VM.
func configOf(e *entryVM) (*config.Service, error) {
	if e.daemon == nil {
		return nil, errNoDaemon
	}
	return kernel.Find[*config.Service](e.daemon.Kernel(), daemon.NameConfig)
}

// propose makes a change at one entry VM.
func (f *fleet) propose(ctx context.Context, e *entryVM, change config.Change) (config.Result, error) {
	service, err := configOf(e)
	if err != nil {
		return config.Result{}, err
	}
	return service.Propose(ctx, change)
}

// configure puts the deployment's document in force at every entry VM.
func (f *fleet) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	change := config.ChangeBetween(&config.Document{}, f.deployment.document())
	change.ID = f.changeID()
	change.Operator = "demo"
	r, err := f.propose(ctx, f.live()[0], change)
	if err != nil {
		return errors.Wrap(err, "propose the first configuration")
	}
	if err := f.awaitRevision(ctx, r.Revision); err != nil {
		return err
	}
	time.Sleep(demoQuota.Changeover() + settleMargin)
	return nil
}

// awaitMembers waits until every entry VM sees all others alive.
func (f *fleet) awaitMembers(ctx context.Context) error {
	return f.await(ctx, func(e *entryVM) bool {
		return e.daemon != nil && len(e.daemon.LiveMembers()) == len(f.order)
	})
}

// awaitRevision waits until every running entry VM has adopted revision.
func (f *fleet) awaitRevision(ctx context.Context, revision model.Revision) error {
	return f.await(ctx, func(e *entryVM) bool {
		service, err := configOf(e)
		if err != nil || service.Current() == nil {
			return false
		}
		return service.Current().Revision() >= revision
	})
}

func (f *fleet) await(ctx context.Context, ready func(*entryVM) bool) error {
	for {
		all := true
		for _, e := range f.live() {
			all = all && ready(e)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotAdopted
		case <-time.After(adoptPoll):
		}
	}
}
