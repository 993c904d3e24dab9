package watch

import (
	"testing"
	"time"
)

var reader = View{Uptime: time.Minute, Age: time.Second}

// If the store drops all open reads, the readers must read again within 3 s, as no peer may
// have a newer declaration, and so must a node that no peer can reach.
func TestReadersReadSoonAfterLostReads(t *testing.T) {
	isolated := reader
	isolated.Rank, isolated.Isolated = 1000, true
	for _, v := range []View{reader, isolated} {
		for seed := range uint64(160) {
			p := NewPlanner(seed)
			for range 50 {
				if plan := p.Next(v); plan.Delay > 0 || plan.Limit() >= 3*time.Second {
					t.Fatalf("%+v: plan %+v, want a read that ends within 3 s", v, plan)
				}
			}
		}
	}
}

// A read of each node for each declaration, and one every two seconds, costs more than all
// else that a fleet of a hundred nodes asks of the store. Nodes must not read while their
// knowledge is recent.
func TestOthersRelyOnTheReaders(t *testing.T) {
	for _, v := range []View{
		{Uptime: time.Minute, Rank: readers, Age: staleStep - time.Millisecond},
		{Uptime: time.Minute, Rank: 500, Age: 0},
		{Uptime: settleTime / 2}, // does not know its peers yet
	} {
		if plan := NewPlanner(1).Next(v); plan.Delay <= 0 || plan.Delay > maxDelay {
			t.Errorf("%+v: plan %+v, want a delay of at most %v", v, plan, maxDelay)
		}
	}
	if plan := NewPlanner(1).Next(View{First: true, Rank: 500}); plan.Delay > 0 || plan.Wait > 0 {
		t.Errorf("plan of the first read is %+v, want no delay and no wait", plan)
	}
}

// While nobody has news of the store, more and more nodes must read, so that the loss of all
// readers of a data centre is made up for, but never all nodes at once.
func TestMoreNodesReadAsTheKnowledgeAges(t *testing.T) {
	const nodes = 1400 // of the largest data centre of the target
	previous := 0
	for age := time.Duration(0); age < 40*time.Second; age += time.Second {
		reading := 0
		for rank := range nodes {
			if NewPlanner(1).Next(View{Uptime: time.Minute, Rank: rank, Age: age}).Delay == 0 {
				reading++
			}
		}
		if reading < previous {
			t.Errorf("%d nodes read at an age of %v, %d one second before", reading, age, previous)
		}
		switch {
		case age < staleStep && reading != readers,
			age >= staleStep && reading < 2*readers,
			age <= 10*time.Second && reading > 8*readers,
			age > 30*time.Second && reading < nodes/2:
			t.Errorf("%d of %d nodes read at an age of %v", reading, nodes, age)
		}
		previous = reading
	}
}

// A store that takes longer than usual must still be able to answer, and after a lost read
// the node must not wait for news before it knows that the store answers.
func TestSlowStoreAnswersAfterLostReads(t *testing.T) {
	p := NewPlanner(1)
	const latency = 1900 * time.Millisecond
	for attempt := 1; ; attempt++ {
		plan := p.Next(reader)
		if attempt > 1 && plan.Wait != 0 {
			t.Errorf("read %d after a lost one waits %v for news, want 0", attempt, plan.Wait)
		}
		if plan.AnswerLimit >= latency {
			break
		}
		if attempt == 5 {
			t.Fatalf("a store that answers after %v is not heard within 5 reads", latency)
		}
		p.Unanswered()
	}
	p.Answered()
	if plan := p.Next(reader); plan.Wait < time.Second {
		t.Errorf("the read after an answered one waits %v, want at least 1 s", plan.Wait)
	}
}

// The connections of all readers may go silent at one moment while new ones work. One reader of
// each data centre must have an answer on a new connection soon enough for its peers to have the
// declaration within the 3 s that the platform grants: it once paused until 2 s had passed. Reads
// after the second lost one keep their distance, so that a silent store costs few calls.
func TestLostReadIsRepeatedAtOnce(t *testing.T) {
	v := View{Uptime: time.Minute, Rank: readers - 1, Age: time.Second}
	for seed := range uint64(100) {
		p := NewPlanner(seed)
		first := p.Next(v)
		p.Unanswered()
		if pause := p.RetryPause(first, v); first.Limit()+pause > 1300*time.Millisecond {
			t.Fatalf("a lost read of %v is repeated after a pause of %v, want 1.3 s together at most", first.Limit(), pause)
		}
		second := p.Next(v)
		p.Unanswered()
		if pause := p.RetryPause(second, v); second.Limit()+pause < 2*time.Second {
			t.Fatalf("the second lost read of %v is repeated after a pause of %v, want 2 s together at least", second.Limit(), pause)
		}
	}
}

// While the store answers nothing, a reader must neither flood it nor stop asking.
func TestReadsWhileTheStoreIsSilent(t *testing.T) {
	p, v, reads := NewPlanner(1), reader, 0
	for now := time.Duration(0); now < time.Minute; reads++ {
		v.Age = now
		plan := p.Next(v)
		p.Unanswered()
		now += plan.Delay + plan.Limit() + p.RetryPause(plan, v)
	}
	if reads < 28 || reads > 40 {
		t.Errorf("%d reads in a minute, want 28 to 40", reads)
	}
}

// A store that answers no reader must be found out soon enough for others to read within the
// operator's two seconds, at a moderate price.
func TestPromptReads(t *testing.T) {
	for _, v := range []View{
		{Uptime: time.Minute, Rank: readers - 1},
		{Uptime: time.Minute, Rank: 5, Substitute: true},
		{Uptime: time.Minute, Rank: 0, Substitute: true},
	} {
		for seed := range uint64(100) {
			plan := NewPlanner(seed).Next(v)
			if plan.Delay > 0 || plan.Wait < 500*time.Millisecond || plan.Limit()+maxCheckDelay > 1500*time.Millisecond {
				t.Fatalf("%+v: plan %+v, want a read of at least 0.5 s after which others have read within 1.5 s", v, plan)
			}
		}
	}
}

// While the store answers no reader, many nodes of a data centre must read once, and again
// only if nobody has news of the store: it may answer none of them.
func TestOthersReadOnceInADoubt(t *testing.T) {
	doubted := View{Uptime: time.Minute, Age: time.Second, Doubt: 1, DoubtAge: maxCheckDelay}
	reading := 0
	for rank := readers; rank < 1400; rank++ {
		p, v := NewPlanner(1), doubted
		v.Rank = rank
		plan := p.Next(v)
		if plan.Delay > 0 {
			continue
		}
		reading++
		if !plan.Check || plan.Limit() > promptAnswerLimit {
			t.Errorf("rank %d: plan %+v, want a check that does not wait", rank, plan)
		}
		v.Uptime += recheckInterval
		if p.Next(v).Delay == 0 {
			t.Errorf("rank %d reads again because of the same doubt, with recent knowledge", rank)
		}
		v.Age = recheckAge
		if p.Next(v).Delay > 0 {
			t.Errorf("rank %d does not read again although nobody has news", rank)
		}
		if p.Next(v).Delay == 0 {
			t.Errorf("rank %d reads twice in a row", rank)
		}
		v.Doubt = 3
		if p.Next(v).Delay > 0 {
			t.Errorf("rank %d does not read in another doubt", rank)
		}
	}
	if reading != substitutes {
		t.Errorf("%d nodes read in a doubt, want %d", reading, substitutes)
	}
	// The reads are spread, so that most nodes hear in time that the store has answered another.
	first, last := doubted, doubted
	first.Rank, last.Rank, first.DoubtAge, last.DoubtAge = readers, readers+substitutes-1, 0, 0
	if a, b := NewPlanner(1).Next(first).Delay, NewPlanner(1).Next(last).Delay; a > 0 || b != maxCheckDelay {
		t.Errorf("the nodes read %v to %v after the doubt, want 0 to %v", a, b, maxCheckDelay)
	}
}

// A reader that the store answers again must find out before operators expect it to be up to
// date, 3 s later: one once paused for 2 s after a read of 2 s.
func TestReadersFindOutThatTheyAreAnsweredAgain(t *testing.T) {
	for rank := range readers {
		for _, age := range []time.Duration{0, confirmedByPeers - 1, confirmedByPeers, time.Minute} {
			p, v := NewPlanner(1), View{Uptime: time.Minute, Rank: rank, Age: age}
			for attempt := range 10 {
				plan := p.Next(v)
				p.Unanswered()
				if interval := plan.Delay + plan.Limit() + p.RetryPause(plan, v); attempt > 0 && interval > 2200*time.Millisecond {
					t.Errorf("rank %d, knowledge of age %v: read %d is repeated after %v, want 2.2 s", rank, age, attempt, interval)
				}
			}
		}
	}
}

// A store that refuses the reads of readers must get fewer reads than one that is silent would.
func TestPauseAfterRefusedReads(t *testing.T) {
	for _, age := range []time.Duration{0, time.Minute} {
		if pause := RefusalPause(View{Age: age}); pause < time.Second {
			t.Errorf("pause of %v after a refused read with knowledge of age %v, want at least 1 s", pause, age)
		}
	}
	if pause := RefusalPause(View{First: true}); pause != 0 {
		t.Errorf("pause of %v after a refused first read, want only the backoff", pause)
	}
}
