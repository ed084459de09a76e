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
	// adoptTimeout bounds the wait until the first configuration is in force
	// everywhere.
	adoptTimeout = 10 * time.Second
	// adoptPollInterval is how often the entry VMs are polled meanwhile.
	adoptPollInterval = 20 * time.Millisecond
	// settleMargin is the time from the changeover of caps to the first request,
	// in which loads and grants spread among the entry VMs.
	settleMargin = time.Second
)

// errNotAdopted reports entry VMs that did not adopt a revision in time.
var errNotAdopted = errors.New("configuration is not in force everywhere")

// errNoDaemon reports an entry VM that runs the baseline.
var errNoDaemon = errors.New("no daemon runs on this entry VM")

// changeID returns a random id for a change.
func (f *fleet) changeID() config.ChangeID {
	return config.NewChangeID(rand.New(rand.NewSource(time.Now().UnixNano())))
}

// configService returns the configuration service of an entry VM, or errNoDaemon if
// the entry VM runs the baseline.
func configService(e *entryVM) (*config.Service, error) {
	if e.daemon == nil {
		return nil, errNoDaemon
	}
	return kernel.Find[*config.Service](e.daemon.Kernel(), daemon.NameConfig)
}

// propose proposes a change of the configuration at one entry VM.
func (f *fleet) propose(ctx context.Context, e *entryVM, change config.Change) (config.Result, error) {
	service, err := configService(e)
	if err != nil {
		return config.Result{}, err
	}
	return service.Propose(ctx, change)
}

// applyFirstConfig puts the deployment's first configuration in force at every
// entry VM and waits until the caps apply too.
func (f *fleet) applyFirstConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, adoptTimeout)
	defer cancel()
	if err := f.awaitMembers(ctx); err != nil {
		return err
	}
	change := config.ChangeBetween(&config.Document{}, f.deployment.document())
	change.ID = f.changeID()
	change.Operator = "demo"
	r, err := f.propose(ctx, f.runningEntryVMs()[0], change)
	if err != nil {
		return errors.Wrap(err, "propose the first configuration")
	}
	if err := f.awaitRevision(ctx, r.Revision); err != nil {
		return err
	}
	time.Sleep(demoQuota.Changeover() + settleMargin)
	return nil
}

// awaitMembers waits until every entry VM has all entry VMs in its list of live
// members.
func (f *fleet) awaitMembers(ctx context.Context) error {
	return f.awaitAll(ctx, func(e *entryVM) bool {
		return e.daemon != nil && len(e.daemon.LiveMembers()) == len(f.vmIDs)
	})
}

// awaitRevision waits until every running entry VM has adopted revision.
func (f *fleet) awaitRevision(ctx context.Context, revision model.Revision) error {
	return f.awaitAll(ctx, func(e *entryVM) bool {
		service, err := configService(e)
		if err != nil || service.Current() == nil {
			return false
		}
		return service.Current().Revision() >= revision
	})
}

// awaitAll polls the running entry VMs until ready holds for all of them. It
// returns errNotAdopted if ctx ends first.
func (f *fleet) awaitAll(ctx context.Context, ready func(*entryVM) bool) error {
	for {
		all := true
		for _, e := range f.runningEntryVMs() {
			all = all && ready(e)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return errNotAdopted
		case <-time.After(adoptPollInterval):
		}
	}
}
