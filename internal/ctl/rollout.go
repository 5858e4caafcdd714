package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

func (a *App) rolloutCommand() *cli.Command {
	return &cli.Command{
		Name: "rollout", Usage: "move the endpoints of a model to a version", Action: needCommand,
		Commands: []*cli.Command{
			a.rolloutStartCommand(),
			changeCommand(a, &cli.Command{
				Name: "pause", Usage: "take no further endpoint out of service",
				Description: "Endpoints that are loading finish. Service goes on with both versions.",
			}, func(o *operatorv1.Operation, name string) *operatorv1.RolloutPauseRequest {
				return &operatorv1.RolloutPauseRequest{Operation: o, Name: name}
			}, operatorv1.OperatorServiceClient.RolloutPause),
			changeCommand(a, &cli.Command{
				Name: "resume", Usage: "continue a paused rollout",
			}, func(o *operatorv1.Operation, name string) *operatorv1.RolloutResumeRequest {
				return &operatorv1.RolloutResumeRequest{Operation: o, Name: name}
			}, operatorv1.OperatorServiceClient.RolloutResume),
			changeCommand(a, &cli.Command{
				Name: "reverse", Usage: "return all endpoints to the version before",
				Description: "A reversal is a decision of its own. It can't be undone; start a new rollout.",
			}, func(o *operatorv1.Operation, name string) *operatorv1.RolloutReverseRequest {
				return &operatorv1.RolloutReverseRequest{Operation: o, Name: name}
			}, operatorv1.OperatorServiceClient.RolloutReverse),
			{
				Name: "status", Usage: "show the progress of a rollout", ArgsUsage: "NAME",
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "follow", Usage: "show the progress until the rollout ends"},
					&cli.DurationFlag{Name: "every", Value: time.Second, Usage: "`TIME` between two looks of --follow"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					return a.withObject(func(ctx context.Context, s *client, name string) error {
						if c.Bool("follow") {
							return s.follow(ctx, name, c.Duration("every"))
						}
						return s.showStatus(ctx, name)
					})(ctx, c)
				},
			},
		},
	}
}

func (a *App) rolloutStartCommand() *cli.Command {
	return &cli.Command{
		Name: "start", Usage: "start a rollout", ArgsUsage: "NAME",
		Description: "The rollout goes step by step. --steps separates the steps by / and the failure\ndomains of a step by commas; the last step also includes the failure domains that\nno step names.",
		Flags: changeFlags(
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model"},
			&cli.StringFlag{Name: "version", Usage: "`NAME` of the declared version"},
			&cli.StringFlag{Name: "steps", Usage: "`STEPS` such as tanta/mansoura,damanhur; without it all failure domains are one step"},
			&cli.Uint32Flag{Name: "max-out", Value: 1, Usage: "`NUMBER` of endpoints of one failure domain that may be out of service at once"},
			&cli.DurationFlag{Name: "lease", Value: 10 * time.Minute, Usage: "`TIME` in which one endpoint has to finish"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return a.withObject(func(ctx context.Context, s *client, name string) error {
				q := &operatorv1.RolloutStartRequest{
					Operation: s.operation(), Name: name, Model: c.String("model"), Version: c.String("version"),
					Steps: parseSteps(c.String("steps")), MaxOut: c.Uint32("max-out"), LeaseMs: c.Duration("lease").Milliseconds(),
				}
				return change(ctx, s, q, operatorv1.OperatorServiceClient.RolloutStart)
			})(ctx, c)
		},
	}
}

// parseSteps reads steps such as "tanta/mansoura,damanhur".
func parseSteps(text string) []*operatorv1.Step {
	var out []*operatorv1.Step
	if text == "" {
		return nil
	}
	for _, t := range strings.Split(text, "/") {
		out = append(out, &operatorv1.Step{FailureDomains: strings.Split(t, ",")})
	}
	return out
}

func (c *client) showStatus(ctx context.Context, name string) error {
	r, err := c.status(ctx, name)
	if err != nil {
		return err
	}
	return c.print(r)
}

func (c *client) status(ctx context.Context, name string) (*operatorv1.Rollout, error) {
	r, err := ask(ctx, c, &operatorv1.RolloutStatusRequest{Name: name}, operatorv1.OperatorServiceClient.RolloutStatus)
	return r.GetRollout(), err
}

// follow shows the progress until the rollout or the context ends. After the first reply it
// outlasts gateways that do not answer.
func (c *client) follow(ctx context.Context, name string, every time.Duration) error {
	last := ""
	for {
		r, err := c.status(ctx, name)
		switch {
		case err != nil && (last == "" || classifier.Of(err) != classifier.Unavailable):
			return err
		case err != nil:
			_, _ = fmt.Fprintf(c.app.Err, "%v; trying again\n", err)
		default:
			if last, err = c.showProgress(r, last); err != nil {
				return err
			}
			if p := registrar.Phase(r.GetPhase()); p == registrar.Done || p == registrar.Reversed {
				return nil
			}
		}
		if c.app.Sleep(ctx, every) != nil {
			return nil
		}
	}
}

// showProgress draws the progress in place on a terminal, and writes a line
// for each change elsewhere. It returns what was shown.
func (c *client) showProgress(r *operatorv1.Rollout, last string) (string, error) {
	if c.opts.output == jsonForm {
		return r.GetPhase(), writeLine(c.app.Out, plain(r.ProtoReflect()))
	}
	text := progressText(r)
	if !c.app.IsTerminal {
		if text == last {
			return text, nil
		}
		_, err := fmt.Fprintln(c.app.Out, text)
		return text, printed(err)
	}
	line := "\r" + progressBar(r) + " " + text
	if n := len(last) - len(text); n > 0 {
		line += strings.Repeat(" ", n)
	}
	if p := registrar.Phase(r.GetPhase()); p == registrar.Done || p == registrar.Reversed {
		line += "\n"
	}
	_, err := fmt.Fprint(c.app.Out, line)
	return text, printed(err)
}

func progressText(r *operatorv1.Rollout) string {
	target := r.GetVersion()
	if p := registrar.Phase(r.GetPhase()); p == registrar.Reversing || p == registrar.Reversed {
		target = r.GetFrom()
	}
	t := fmt.Sprintf("%s %s, step %s, %s endpoints on %s, chunks %d of %d", r.GetName(), r.GetPhase(), stepText(r),
		endpointText(r), target, r.GetChunksVerified(), r.GetChunksTotal())
	if r.GetFailed() > 0 {
		t += fmt.Sprintf(", %d failed, the last: %s", r.GetFailed(), r.GetLastFailure())
	}
	if p := registrar.Phase(r.GetPhase()); p == registrar.Paused && r.GetReason() != "" {
		t += ", reason: " + r.GetReason()
	}
	return t
}

// barLen is the length of the progress bar in characters.
const barLen = 20

func progressBar(r *operatorv1.Rollout) string {
	n := 0
	if r.GetEndpoints() > 0 {
		n = int(uint64(barLen) * uint64(r.GetEndpointsOnTarget()) / uint64(r.GetEndpoints()))
	}
	return "[" + strings.Repeat("#", n) + strings.Repeat(".", barLen-n) + "]"
}
