// Command cardamomhatch runs and operates an overload control layer for
// service call graphs.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// commands defines the command line. Each subcommand has a Run method.
type commands struct {
	Run              runCommand              `cmd:"" help:"Run one node with the given settings."`
	Serve            serveCommand            `cmd:"" help:"Run one sidecar node that uses the platform's store."`
	Dev              devCommand              `cmd:"" help:"Run an example mesh in one process on loopback."`
	Plan             planCommand             `cmd:"" help:"Show what declaration files would change, without applying them."`
	Confirm          confirmCommand          `cmd:"" help:"Confirm a plan of any kind."`
	Proposal         proposalCommand         `cmd:"" help:"Show the result of a confirmation that was reported as unknown."`
	Status           statusCommand           `cmd:"" help:"Show the status of one node and what it knows about the others."`
	Key              keyCommand              `cmd:"" help:"Issue, withdraw and list keys."`
	Drain            drainCommand            `cmd:"" help:"Drain the upstream of a host."`
	Timeline         timelineCommand         `cmd:"" help:"Collect and merge the timelines of all nodes."`
	Replay           replayCommand           `cmd:"" help:"Check a recorded timeline against rules."`
	Load             loadCommand             `cmd:"" help:"Generate open-loop load against a mesh."`
	Experiment       experimentCommand       `cmd:"" help:"Run overload and failure scenarios on real nodes and check the results."`
	Capacity         capacityCommand         `cmd:"" help:"Measure the memory and time that fleets of several sizes cost one node."`
	Model            modelCommand            `cmd:"" help:"Simulate the admission policies in virtual time."`
	CheckSettings    checkSettingsCommand    `cmd:"" help:"Check a settings file."`
	CheckDeclaration checkDeclarationCommand `cmd:"" help:"Check declaration files."`
	LogStandin       logStandinCommand       `cmd:"" help:"Run the stand-in log service."`
	UpstreamStandin  upstreamStandinCommand  `cmd:"" help:"Run one stand-in upstream."`
	Version          versionCommand          `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command was rejected or failed
	exitUsage  = 2 // invalid command line
)

// usageError is an error in the command line that kong does not detect.
type usageError struct{ error }

func newUsageError(format string, args ...any) error {
	return usageError{errors.Errorf(format, args...)}
}

// streams are the standard streams of a command.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	runtime.MemProfileRate = 0 // nothing reads heap profiles, and their table takes 1.4 MB
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// Pressing Ctrl-C again terminates the process immediately. A further SIGTERM does not: several
	// operations may stop the same node, and each of them sends one.
	context.AfterFunc(ctx, func() { signal.Reset(os.Interrupt) })
	code := execute(ctx, os.Args[1:], &streams{os.Stdin, os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// execute runs one command and returns the exit code. Commands that serve run until
// ctx is done; main cancels it at the first SIGINT or SIGTERM.
func execute(ctx context.Context, args []string, s *streams) int {
	var c commands
	exited := -1 // exit code requested by kong, for example after --help
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
		return exitOK
	}
	fmt.Fprintf(s.err, "cardamomhatch: %v\n", err)
	var usageErr usageError
	if errors.As(err, &usageErr) {
		return exitUsage
	}
	return exitFailed
}
