// Package histories tests state machines with random sequences of commands, called
// histories, that are checked against an oracle. A failing history is shrunk to a
// shorter one. Only tests import the package.
package histories

import (
	"strconv"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// Draw is the random input of one command. Every draw must be valid in every state,
// so that a history from which commands were removed is a history too.
type Draw struct {
	bits uint64
}

// Intn returns the next random number in [0, n), which must not be zero. A draw
// holds 64 bits in all; once they are used up, Intn returns zero.
func (d *Draw) Intn(n uint64) int {
	v := d.bits % n
	d.bits /= n
	return int(v)
}

// Subject is a state machine under test, together with its oracle. Apply runs one
// command on both and returns an error if a property does not hold.
type Subject interface {
	Apply(d Draw) error
}

// Options configures a check. Seed makes the histories reproducible, Count is their
// number and Length the maximum number of commands in each.
type Options struct {
	Seed   int64
	Count  int
	Length int
}

// Check runs each history on a new subject from build. It stops at the first failing
// history and returns it in its shrunk form.
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

// newCommand returns the command with the given random bits.
func newCommand(bits uint64) commands.Command {
	return &commands.ProtoCommand{
		Name: strconv.FormatUint(bits, 10),
		RunFunc: func(sut commands.SystemUnderTest) commands.Result {
			return sut.(Subject).Apply(Draw{bits})
		},
		PostConditionFunc: func(_ commands.State, result commands.Result) *gopter.PropResult {
			return propResult(result)
		},
	}
}

// propResult converts the result of a command, nil or an error, into one of gopter.
func propResult(result commands.Result) *gopter.PropResult {
	err, failed := result.(error)
	if !failed {
		return &gopter.PropResult{Status: gopter.PropTrue}
	}
	return &gopter.PropResult{Status: gopter.PropFalse, Labels: []string{err.Error()}}
}
