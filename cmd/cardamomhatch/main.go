// Command cardamomhatch runs and operates an overload control layer for
// service call graphs.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// commands is the command line. Each subcommand has a Run method.
type commands struct {
	Run              runCommand              `cmd:"" help:"Run one node as its settings say."`
	Serve            serveCommand            `cmd:"" help:"Run one node on the users' platform."`
	Dev              devCommand              `cmd:"" help:"Run an example mesh in one process on loopback."`
	Plan             planCommand             `cmd:"" help:"Show what declaration files would change. Nothing takes effect."`
	Confirm          confirmCommand          `cmd:"" help:"Confirm a plan of any kind."`
	Proposal         proposalCommand         `cmd:"" help:"Ask what became of a confirmation that was not known yet."`
	Status           statusCommand           `cmd:"" help:"Show one node and what it knows of the others."`
	Key              keyCommand              `cmd:"" help:"Issue, withdraw and list keys."`
	Drain            drainCommand            `cmd:"" help:"Drain the upstream beside a host."`
	Timeline         timelineCommand         `cmd:"" help:"Collect and merge the timelines of all nodes."`
	Replay           replayCommand           `cmd:"" help:"Check a recorded timeline against stated outcomes."`
	Load             loadCommand             `cmd:"" help:"Generate open-loop load against a mesh."`
	Experiment       experimentCommand       `cmd:"" help:"Run scenarios of overload and failure on real nodes and judge the figures."`
	Capacity         capacityCommand         `cmd:"" help:"Measure what a fleet costs one node, at several sizes."`
	Model            modelCommand            `cmd:"" help:"Measure the policies on a model in virtual time."`
	CheckSettings    checkSettingsCommand    `cmd:"" help:"Check a settings file."`
	CheckDeclaration checkDeclarationCommand `cmd:"" help:"Check declaration files."`
	LogStandin       logStandinCommand       `cmd:"" help:"Run the stand-in log service."`
	UpstreamStandin  upstreamStandinCommand  `cmd:"" help:"Run one stand-in upstream."`
	Version          versionCommand          `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1 // refused or failed
	exitUsage  = 2
)

// usageError is a mistake on the command line that kong cannot see.
type usageError struct{ error }

func usage(format string, args ...any) error { return usageError{errors.Errorf(format, args...)} }

// streams are where a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	code := execute(ctx, os.Args[1:], &streams{os.Stdin, os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// execute runs one command and returns the exit code. ctx ends at the first
// SIGINT or SIGTERM.
func execute(ctx context.Context, args []string, s *streams) int {
	var c commands
	exited := -1 // set by --help
	parser := kong.Must(&c,
		kong.Name("cardamomhatch"),
		kong.Description("Overload control for service call graphs."),
		kong.Writers(s.out, s.err),
		kong.Exit(func(code int) { exited = code }),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(s))
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(s.err, "cardamomhatch: %v\nRun \"cardamomhatch --help\" for the commands and their flags.\n", err)
		return exitUsage
	}
	err = parsed.Run()
	if err == nil {
		return exitDone
	}
	fmt.Fprintf(s.err, "cardamomhatch: %v\n", err)
	var mistake usageError
	if errors.As(err, &mistake) {
		return exitUsage
	}
	return exitFailed
}
