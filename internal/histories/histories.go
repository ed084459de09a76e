// Package histories runs random histories of commands against an oracle. It
// supports the tests of state machines; no program imports it.
package histories

import (
	"strconv"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Draw is the random content of one command. Every draw is valid in every
// state, so that any part of a history is a history.
type Draw struct {
	bits uint64
}

// Take draws a number below n.
func (d *Draw) Take(n uint64) int {
	v := d.bits % n
	d.bits /= n
	return int(v)
}

// Subject is a state machine together with its oracle. Apply runs one command
// and returns the first promise that was broken so far.
type Subject interface {
	Apply(d Draw) error
}

// Options says how many histories to run, and how long and which ones.
type Options struct {
	Seed   int64
	Count  int
	Length int
}

// Check runs histories against the subjects that build returns and shrinks
// the first one that fails.
func Check(opts Options, build func() Subject) *gopter.TestResult {
	params := gopter.DefaultTestParametersWithSeed(opts.Seed)
	params.MinSuccessfulTests = opts.Count
	params.MaxSize = opts.Length
	return commands.Prop(&commands.ProtoCommands{
		InitialStateGen: gen.Const(0),
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			return build()
		},
		GenCommandFunc: func(commands.State) gopter.Gen {
			return gen.UInt64().Map(newCommand)
		},
	}).Check(params)
}

// newCommand returns the command with the given content.
func newCommand(bits uint64) commands.Command {
	return &commands.ProtoCommand{
		Name: strconv.FormatUint(bits, 10),
		RunFunc: func(sut commands.SystemUnderTest) commands.Result {
			return sut.(Subject).Apply(Draw{bits})
		},
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			return verdict(result)
		},
	}
}

func verdict(result commands.Result) *gopter.PropResult {
	err, broken := result.(error)
	if !broken {
		return &gopter.PropResult{Status: gopter.PropTrue}
	}
	return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
}
