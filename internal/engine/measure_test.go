package engine

import (
	"strings"
	"testing"
	"time"

	"cardamomhatch/internal/config"
	"cardamomhatch/internal/declaration"
	"cardamomhatch/internal/mesh"
	"cardamomhatch/internal/outcome"
)

// wrongfulRefusalRatio returns the fraction of a workspace's calls that were refused
// for quota although a single token bucket with its rate and burst would have
// admitted them.
func (r *recorder) wrongfulRefusalRatio(ws mesh.Workspace, from time.Duration) float64 {
	limit := r.c.declared.Workspaces[ws]
	level, last := limit.Burst, from
	calls, refused := 0, 0
	for _, q := range r.requests {
		if q.workspace != ws || q.parent != nil || q.at < from {
			continue
		}
		level = min(limit.Burst, level+(q.at-last).Seconds()*limit.RatePerSecond)
		last = q.at
		if q.node.dead && q.ends == 0 {
			continue // lost with its entry node
		}
		calls++
		reason := q.result.refusal.Reason
		if level >= 1 && (reason == outcome.OverRate || reason == outcome.NoCredit) {
			refused++
			continue
		}
		level--
	}
	return float64(refused) / float64(calls)
}

// Guards against too many refusals of a workspace that stays within its rate. The
// goals are at most 0.1 % in the steady state and 1 % in a minute in which a share
// holder crashes, restarts or stops. The workspace uses 70 % of its rate and has two,
// four or eight shares: one for each 16 calls of its burst, but at most one for each node.
func TestWrongfulRefusals(t *testing.T) {
	faults := []struct {
		name   string
		goal   float64
		inject func(c *cluster)
	}{
		{"steady", 0.001, func(*cluster) {}},
		{"death", 0.01, func(c *cluster) { c.kill(c.shareHolder("anna")) }},
		{"restart", 0.01, func(c *cluster) {
			n := c.shareHolder("anna")
			c.kill(n)
			c.after(time.Second, func() { c.start(n.member.Node.Host, n.member.Service) })
		}},
		{"planned-stop", 0.01, func(c *cluster) { c.stop(c.shareHolder("anna")) }},
	}
	for shares, burst := range map[string]string{"two-shares": "burst = 32", "four-shares": "burst = 64", "eight-shares": "burst = 512"} {
		for _, tt := range faults {
			t.Run(shares+"/"+tt.name, func(t *testing.T) {
				got := wrongfulRefusalsDuringFault(t, strings.Replace(testMesh, "burst = 64", burst, 1), tt.inject)
				t.Logf("%.3f %% refused within the rate", got*100)
				if got > tt.goal {
					t.Errorf("%.3f %% refused within the rate, goal %.1f %%", got*100, tt.goal*100)
				}
			})
		}
	}
}

// wrongfulRefusalsDuringFault returns wrongfulRefusalRatio of workspace anna over a
// minute, with a fault after five seconds.
func wrongfulRefusalsDuringFault(t *testing.T, declarationText string, injectFault func(c *cluster)) float64 {
	c := newCluster(t, 90, declarationText, "shop", "shop", "shop", "shop", "stock", "stock", "stock", "stock")
	r := newRecorderWithPlainUpstreams(c)
	c.run(10 * time.Second)
	c.after(5*time.Second, func() { injectFault(c) })
	from := c.now
	var next func()
	next = func() { // 70 calls a second at random times and nodes; the declared rate is 100
		nodes := c.liveNodes()
		if n := nodes[c.random.IntN(len(nodes))]; n.stopStart == 0 {
			r.sendRequest(n, "anna", "GET", "/items/1", "", nil)
		}
		c.after(time.Duration(c.random.ExpFloat64()*float64(time.Second)/70), next)
	}
	next()
	c.run(time.Minute)
	r.checkRates()
	r.reportProblems(t)
	return r.wrongfulRefusalRatio("anna", from)
}

// Guards against changes and withdrawals that take more than 2 s to be in force at
// every node while a fifth of the control messages is lost. Withdrawals are tested
// with the log available and unavailable, changes with the log available.
func TestTimeUntilInForce(t *testing.T) {
	const goal = 2 * time.Second
	for _, tt := range []struct {
		name    string
		logDown bool
		begin   func(c *cluster) (inForce func(n *testNode) bool)
	}{
		{"change", false, func(c *cluster) func(n *testNode) bool {
			m, err := declaration.Parse(declaration.File{Name: "test.ini", Data: []byte(testMesh + "[service new]\n")})
			if err != nil {
				t.Fatal(err)
			}
			plan, err := config.Plan(c.started[0].State(), m)
			if err != nil {
				t.Fatal(err)
			}
			h := config.Header{Token: config.Token{1}, By: c.started[0].member.Node, After: c.started[0].State().Offset()}
			data, err := config.NewChange(h, plan)
			if err != nil {
				t.Fatal(err)
			}
			c.step(c.started[0], &RecordProposed{Token: h.Token.String(), Data: data})
			return func(n *testNode) bool { _, ok := n.State().Mesh().Services["new"]; return ok }
		}},
		{"withdrawal", false, withdrawAnna},
		{"withdrawal in an outage of the log", true, withdrawAnna},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := newTestCluster(t, 91)
			c.lossRate, c.logDown = 0.2, tt.logDown
			c.run(time.Second)
			from := c.now
			inForce := tt.begin(c)
			var slowest time.Duration
			for _, n := range c.liveNodes() {
				c.runUntil(t, "in force", func() bool { return inForce(n) })
				slowest = max(slowest, c.now-from)
			}
			t.Logf("in force at all nodes after %v", slowest)
			if slowest > goal {
				t.Errorf("in force at all nodes after %v, goal %v", slowest, goal)
			}
		})
	}
}

func withdrawAnna(c *cluster) func(n *testNode) bool {
	c.step(c.started[0], &KeyWithdrawalRequested{KeyID: keyID(c.secrets["anna"])})
	return func(n *testNode) bool {
		_, reason := n.keys.Check([]byte(c.secrets["anna"]))
		return reason == outcome.KeyWithdrawn
	}
}
