package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/timeline"
)

// maxAnswer bounds the answers a client reads, in bytes. A timeline of a full
// ring is about 1 MB.
const maxAnswer = 64 << 20

// Client calls the intent API of one node. Its errors are *Error if the node
// refused the request, and otherwise name the node.
type Client struct {
	URL   string // of the operator listener
	Token string
	HTTP  *http.Client // nil: http.DefaultClient
}

// Plan asks for the plan that makes the mesh as the files declare it.
func (c *Client) Plan(ctx context.Context, files []File) (Plan, error) {
	return post[Plan](ctx, c, "/v1/plan", PlanRequest{files})
}

// PlanKey asks for the plan to issue or withdraw a key.
func (c *Client) PlanKey(ctx context.Context, r KeyRequest) (Plan, error) {
	return post[Plan](ctx, c, "/v1/keys/plan", r)
}

// PlanDrain asks for the plan to drain the upstream beside a host.
func (c *Client) PlanDrain(ctx context.Context, host mesh.Host) (Plan, error) {
	return post[Plan](ctx, c, "/v1/drain", struct {
		Host mesh.Host `json:"host"`
	}{host})
}

// Confirm confirms a plan of any kind. With wait above zero the verdict on an
// accepted record tells how many nodes have it in force.
func (c *Client) Confirm(ctx context.Context, p Plan, wait time.Duration) (Result, error) {
	path := map[PlanKind]string{
		PlanMesh: "/v1/confirm", PlanIssue: "/v1/keys/confirm", PlanWithdraw: "/v1/keys/confirm", PlanDrain: "/v1/drain",
	}[p.Kind]
	if path == "" {
		return Result{}, errors.Errorf("plan has kind %q, which does not exist", p.Kind)
	}
	if wait > 0 {
		path += "?wait=" + strconv.FormatFloat(wait.Seconds(), 'f', -1, 64)
	}
	v, err := post[Result](ctx, c, path, p)
	if err == nil && v.State == "" {
		err = errors.Errorf("node at %s answered without a verdict", c.URL)
	}
	return v, err
}

// Proposal asks what became of a confirmation.
func (c *Client) Proposal(ctx context.Context, token config.Token) (Result, error) {
	return get[Result](ctx, c, "/v1/proposals/"+token.String())
}

// Keys lists the keys.
func (c *Client) Keys(ctx context.Context) ([]Key, error) {
	answer, err := get[struct {
		Keys []Key `json:"keys"`
	}](ctx, c, "/v1/keys")
	return answer.Keys, err
}

// Status describes the node. With ask it first asks the other members.
func (c *Client) Status(ctx context.Context, ask bool) (Status, error) {
	path := "/v1/status"
	if ask {
		path += "?ask=1"
	}
	return get[Status](ctx, c, path)
}

// Timeline returns the events of the node that the filter selects. The host is
// not part of the question: a node has only its own events.
func (c *Client) Timeline(ctx context.Context, f timeline.Filter) ([]timeline.Event, error) {
	query := url.Values{}
	for _, kind := range f.Kinds {
		query.Add("kind", kind.String())
	}
	if f.Workspace != "" {
		query.Set("workspace", string(f.Workspace))
	}
	if f.Action != 0 {
		query.Set("action", strconv.FormatUint(uint64(f.Action), 16))
	}
	data, err := c.call(ctx, http.MethodGet, "/v1/timeline?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	events, err := timeline.ReadJSON(bytes.NewReader(data))
	return events, errors.Wrapf(err, "timeline of %s", c.URL)
}

func post[T any](ctx context.Context, c *Client, path string, body any) (answer T, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	return decode[T](c.call(ctx, http.MethodPost, path, data))
}

func get[T any](ctx context.Context, c *Client, path string) (answer T, err error) {
	return decode[T](c.call(ctx, http.MethodGet, path, nil))
}

func decode[T any](data []byte, err error) (answer T, _ error) {
	if err != nil {
		return answer, err
	}
	return answer, errors.Wrap(json.Unmarshal(data, &answer), "answer of the node")
}

// call returns the body of an answer that is not an error.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, errors.Wrapf(err, "node at %s", c.URL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, errors.Wrapf(err, "answer of node at %s", c.URL)
	}
	var failure errorBody
	if resp.StatusCode >= http.StatusBadRequest && json.Unmarshal(data, &failure) == nil && failure.Error != nil {
		failure.Error.Status = resp.StatusCode
		return nil, failure.Error
	}
	if resp.StatusCode >= http.StatusBadRequest && !json.Valid(data) {
		return nil, errors.Errorf("node at %s answered %s", c.URL, resp.Status)
	}
	return data, nil
}
