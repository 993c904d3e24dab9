package policymodel

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// Figures are the measured outcomes of one run.
type Figures struct {
	Goodput  float64 // of the best the slots allow, from the cause on
	Critical float64 // success of critical actions from the cause on
	Recovery time.Duration
	Worst    float64 // smallest part of its fair share that a workspace got during the cause
	Swing    float64 // goodput of the worst second of the cause against the best the slots allow
	RefusedBefore  float64 // refused or failed outside the cause, before it
	LimitLow float64
	LimitTop float64
}

// String returns the figures as one line.
func (f Figures) String() string {
	return fmt.Sprintf("goodput %.3f, critical %.4f, recovery %.1fs, worst workspace %.3f, worst second %.3f, refused before %.4f, limit %.0f-%.0f",
		f.Goodput, f.Critical, f.Recovery.Seconds(), f.Worst, f.Swing, f.RefusedBefore, f.LimitLow, f.LimitTop)
}

type bin struct {
	offered, good float64
	best          float64
}

func (m *model) figures() Figures {
	const settled = time.Second
	bins := make([]bin, end/binSize)
	var critical, before bin
	var offered, good [len(workspaceMix)][mesh.NumClasses]float64
	for _, a := range m.clicks {
		b := &bins[a.started/binSize]
		got := 0.0
		if a.good {
			got = 1
		}
		b.offered++
		b.good += got
		switch {
		case a.started >= from && a.class == mesh.ClassCritical:
			critical.offered++
			critical.good += got
		case a.started >= settled && a.started < from:
			before.offered++
			before.good += got
		}
		if a.started >= from && a.started < m.sc.end() {
			offered[a.workspace][a.class]++
			good[a.workspace][a.class] += got
		}
	}
	f := Figures{Critical: critical.good / critical.offered, RefusedBefore: 1 - before.good/before.offered}
	var sum bin
	capacity := 0.0
	for i := range bins {
		t := time.Duration(i) * binSize
		bins[i].best = min(bins[i].offered, m.capacity(t)*binSize.Seconds())
		if t < from {
			continue
		}
		sum.good += bins[i].good
		sum.best += bins[i].best
		if t < m.sc.end() {
			capacity += bins[i].best // slots that nobody wants at the time are nobody's share
		} else if bins[i].good < 0.95*bins[i].best {
			f.Recovery = t + binSize - m.sc.end()
		}
	}
	f.Goodput = sum.good / sum.best
	f.Swing = worstSecond(bins[from/binSize : m.sc.end()/binSize])
	f.Worst = worstShare(offered, good, capacity)
	limits := m.limits[from/binSize : m.sc.end()/binSize]
	f.LimitLow, f.LimitTop = slices.Min(limits), slices.Max(limits)
	return f
}

func worstSecond(bins []bin) float64 {
	const perSecond = int(time.Second / binSize)
	worst := math.Inf(1)
	for i := perSecond; i+perSecond <= len(bins); i++ { // the first second is the transition
		var sum bin
		for _, b := range bins[i : i+perSecond] {
			sum.good += b.good
			sum.best += b.best
		}
		worst = min(worst, sum.good/sum.best)
	}
	return worst
}

// worstShare returns the smallest ratio of what a workspace got to its fair
// share: the capacity goes to the classes in order, within a class by max-min
// fairness.
func worstShare(offered, good [len(workspaceMix)][mesh.NumClasses]float64, capacity float64) float64 {
	var fair, got [len(workspaceMix)]float64
	for class := range mesh.NumClasses {
		var demand []float64
		sum := 0.0
		for w := range offered {
			demand = append(demand, offered[w][class])
			sum += offered[w][class]
		}
		level := waterLevel(demand, min(capacity, sum))
		capacity = max(capacity-sum, 0)
		for w := range offered {
			fair[w] += min(demand[w], level)
			got[w] += good[w][class]
		}
	}
	worst := math.Inf(1)
	for w := range fair {
		worst = min(worst, got[w]/fair[w])
	}
	return worst
}

// waterLevel returns the level at which the demands, each capped at it, use up
// the capacity.
func waterLevel(demand []float64, capacity float64) float64 {
	sorted := slices.Clone(demand)
	slices.Sort(sorted)
	level := 0.0
	for i, d := range sorted {
		level = capacity / float64(len(sorted)-i)
		if d > level {
			return level
		}
		capacity -= d
	}
	return sorted[len(sorted)-1]
}
