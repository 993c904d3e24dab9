package pressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// A caller must not be told to come back to no room, or later than it honours or too late to
// be served, and one that comes back in time must be admitted.
func TestBookedReturnsAreAdmitted(t *testing.T) {
	const share, left = 0.5, 2 * time.Second
	r, random := NewReturns(), rand.New(rand.NewPCG(1, 2))
	a := Attempt{Target: Target{"stock", "feed"}, Level: 6, Share: share, Fair: share, Left: left}
	due := map[time.Duration]int{}
	first, admitted, booked, returned := 0, 0, 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
		for range 2 { // 400 a second
			first++
			a.Draw, a.Left = random.Float64(), left
			if r.Admits(now, a) {
				admitted++
				r.RecordAnswer(now, a.Target, a.Level, 600*time.Millisecond)
				continue
			}
			delay, ok := r.Delay(now, a)
			if ok {
				booked++
				due[now+delay]++
			}
			if ok != (delay <= left/3) || ok && left-delay < 600*time.Millisecond {
				t.Fatalf("a caller with %v left is told %v, booked %v", left, delay, ok)
			}
		}
		for range due[now] {
			a.Draw, a.Left = 1, left*2/3 // a draw that admits nobody
			if r.Admits(now, a) {
				returned++
			}
		}
	}
	if booked == 0 || float64(returned) < 0.9*float64(booked)-100 {
		t.Errorf("%d of %d callers that came back as told were admitted, want nine tenths", returned, booked)
	}
	if got := float64(admitted+returned) / float64(first+booked); got < share-0.05 || got > share+0.05 {
		t.Errorf("%.2f of all attempts are admitted, want the share %.2f", got, share)
	}
	a.Left = 400 * time.Millisecond
	if delay, ok := r.Delay(20*time.Second, a); ok {
		t.Errorf("a caller with 0.4 s left for an answer that takes 0.6 s is told to come back in %v", delay)
	}
	for i := range 1000 {
		a.Target.Route = fmt.Sprint(i)
		r.Admits(20*time.Second, a)
	}
	if len(r.groups) > maxReturnGroups {
		t.Errorf("%d groups are held, want at most %d", len(r.groups), maxReturnGroups)
	}
}
