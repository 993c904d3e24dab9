package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cardamomhatch/internal/outcome"
)

const (
	ticketHeader  = "Cardamomhatch-Ticket"
	timeoutHeader = "Cardamomhatch-Timeout-Ms"
	ticketPath    = "/.cardamomhatch/ticket"
	// maxPooledTickets bounds the tickets kept from earlier answers.
	maxPooledTickets = 64
	// abandonFactor times the timeout is when a request is given up.
	abandonFactor = 2
)

// kind is how a request ended.
type kind = Kind

const (
	whole   = Complete
	refused = Refused
	failed  = Failed
	cut     = Truncated
	dropped = Dropped
)

// ending is the end of one attempt.
type ending struct {
	kind    kind
	refusal outcome.Refusal // refused
	status  int
	inTime  bool  // whole
	bytes   int64 // of the body
}

// ticketPool keeps the tickets that answers carried, newest first out.
type ticketPool struct {
	mu      sync.Mutex
	tickets []string
}

func (p *ticketPool) put(ticket string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ticket != "" && len(p.tickets) < maxPooledTickets {
		p.tickets = append(p.tickets, ticket)
	}
}

func (p *ticketPool) take() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tickets) == 0 {
		return ""
	}
	last := len(p.tickets) - 1
	ticket := p.tickets[last]
	p.tickets = p.tickets[:last]
	return ticket
}

// perform runs one request with its retries and records its end.
func (r *runner) perform(ctx context.Context, a arrival, line *recorder) {
	w := &r.cfg.Workspaces[a.workspace]
	route := &w.Routes[a.route]
	timeout := route.Timeout
	if timeout == 0 {
		timeout = r.cfg.Timeout
	}
	ctx, cancel := context.WithDeadline(ctx, a.at.Add(abandonFactor*timeout))
	defer cancel()
	c := &client{runner: r, workspace: w, route: route, pool: r.tickets[a.workspace], arrival: a, deadline: a.at.Add(timeout)}
	end := c.attempt(ctx)
	for retry := 0; retry < r.cfg.Retries && c.retryable(end); retry++ {
		if !sleepUntil(ctx, time.Now().Add(c.delay(retry, end))) {
			break
		}
		line.retried()
		end = c.attempt(ctx)
	}
	latency := time.Since(a.at)
	end.inTime = latency <= timeout
	line.ended(end, latency)
	r.reportEnd(a, end, latency)
}

// client performs the attempts of one request.
type client struct {
	runner    *runner
	workspace *Workspace
	route     *Route
	pool      *ticketPool
	arrival   arrival
	deadline  time.Time
	ticket    string
	attempts  int
}

// retryable reports whether another attempt is safe and may help.
func (c *client) retryable(end ending) bool {
	switch end.kind {
	case whole:
		return false
	case refused:
		status := end.refusal.Reason.Status()
		if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			return false
		}
	}
	notRun := end.kind == refused && end.refusal.Execution == outcome.NotRun
	return notRun || c.route.Idempotent || c.ticket != ""
}

func (c *client) delay(retry int, end ending) time.Duration {
	d := c.runner.cfg.RetryDelay << min(retry, 16)
	d += time.Duration(c.arrival.random.Int64N(int64(d)/2 + 1))
	if c.runner.cfg.RespectRetryAfter {
		d = max(d, end.refusal.RetryAfter)
	}
	return d
}

// attempt sends the request once, after it has got a ticket if it needs one.
func (c *client) attempt(ctx context.Context) ending {
	if c.runner.cfg.Tickets && !c.route.Idempotent && c.ticket == "" {
		c.ticket = c.pool.take()
	}
	if c.runner.cfg.Tickets && !c.route.Idempotent && c.ticket == "" {
		end, header := c.send(ctx, http.MethodPost, ticketPath, nil)
		if end.kind != whole {
			return end
		}
		c.ticket = header.Get(ticketHeader)
		if c.ticket == "" {
			return ending{kind: failed, status: end.status}
		}
	}
	c.attempts++
	end, header := c.send(ctx, c.route.Method, c.route.Path, c.route.Body)
	c.report(end, header)
	if c.runner.cfg.Tickets && !c.runner.cfg.FreshTickets && !c.route.Idempotent && header != nil {
		c.pool.put(header.Get(ticketHeader))
	}
	return end
}

// target chooses a usable target, or any if none is.
func (c *client) target() string {
	targets := c.runner.cfg.Targets
	first := c.arrival.random.IntN(len(targets))
	for i := range targets {
		target := targets[(first+i)%len(targets)]
		if c.runner.cfg.Usable == nil || c.runner.cfg.Usable(target) {
			return target
		}
	}
	return targets[first]
}

// onceReader hides the type of a body, so that http.Transport cannot send it
// again by itself.
type onceReader struct{ io.Reader }

func (c *client) send(ctx context.Context, method, path string, body []byte) (ending, http.Header) {
	base := strings.TrimSuffix(c.target(), "/")
	request, err := http.NewRequestWithContext(ctx, method, base+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return ending{kind: failed}, nil
	}
	if len(body) > 0 {
		request.ContentLength = int64(len(body))
	}
	request.Header.Set("Authorization", "Bearer "+c.workspace.Key)
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	request.Header.Set(timeoutHeader, strconv.FormatInt(remaining, 10))
	if c.ticket != "" {
		request.Header.Set(ticketHeader, c.ticket)
	}
	if name := c.runner.cfg.MarkerHeader; name != "" && path == c.route.Path {
		request.Header.Set(name, c.marker())
	}
	response, err := c.runner.cfg.Transport.RoundTrip(request)
	if err != nil {
		return ending{kind: failed}, nil
	}
	defer response.Body.Close()
	return read(response), response.Header
}

// read reads the whole answer and says how it ended.
func read(response *http.Response) ending {
	end := ending{status: response.StatusCode}
	n, err := io.Copy(io.Discard, response.Body)
	end.bytes = n
	refusal, isRefusal := outcome.Parse(response.Header)
	switch {
	case isRefusal:
		end.kind, end.refusal = refused, refusal
	case err != nil:
		end.kind = cut
	case response.StatusCode >= http.StatusInternalServerError:
		end.kind = failed
	}
	return end
}
