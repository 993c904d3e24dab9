package policymodel

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cardamomhatch/internal/mesh"
)

// Figures are the measured results of one run.
type Figures struct {
	Goodput         float64       // relative to the maximum that the slots allow, from the start of the cause
	CriticalSuccess float64       // share of critical actions answered in time, from the start of the cause
	Recovery        time.Duration // from the end of the cause until goodput stays at or above 0.95 of what the slots allow
	WorstWorkspace  float64       // smallest ratio of a workspace's goodput to its fair share, during the cause
	WorstSecond     float64       // smallest goodput in a second of the cause, relative to the maximum that the slots allow
	RefusedBefore   float64       // share of actions refused or failed before the cause
	MinLimit        float64
	MaxLimit        float64
}

// String returns the figures as one line.
func (f Figures) String() string {
	return fmt.Sprintf("goodput %.3f, critical %.4f, recovery %.1fs, worst workspace %.3f, worst second %.3f, refused before %.4f, limit %.0f-%.0f",
		f.Goodput, f.CriticalSuccess, f.Recovery.Seconds(), f.WorstWorkspace, f.WorstSecond, f.RefusedBefore, f.MinLimit, f.MaxLimit)
}

// bin counts the user requests that start in an interval.
type bin struct {
	offered, good float64
	achievable    float64 // goodput that the slots allow
}

func (m *model) figures() Figures {
	const warmUp = time.Second
	bins := make([]bin, runEnd/binSize)
	var critical, before bin
	var offered, good [len(workspaceMix)][mesh.NumClasses]float64
	for _, a := range m.userRequests {
		b := &bins[a.started/binSize]
		got := 0.0
		if a.good {
			got = 1
		}
		b.offered++
		b.good += got
		switch {
		case a.started >= causeStart && a.class == mesh.ClassCritical:
			critical.offered++
			critical.good += got
		case a.started >= warmUp && a.started < causeStart:
			before.offered++
			before.good += got
		}
		if a.started >= causeStart && a.started < m.sc.causeEnd() {
			offered[a.workspace][a.class]++
			good[a.workspace][a.class] += got
		}
	}
	f := Figures{CriticalSuccess: critical.good / critical.offered, RefusedBefore: 1 - before.good/before.offered}
	var sum bin
	capacity := 0.0
	for i := range bins {
		t := time.Duration(i) * binSize
		bins[i].achievable = min(bins[i].offered, m.capacity(t)*binSize.Seconds())
		if t < causeStart {
			continue
		}
		sum.good += bins[i].good
		sum.achievable += bins[i].achievable
		if t < m.sc.causeEnd() {
			capacity += bins[i].achievable // slots without demand at the time are not part of a fair share
		} else if bins[i].good < 0.95*bins[i].achievable {
			f.Recovery = t + binSize - m.sc.causeEnd()
		}
	}
	f.Goodput = sum.good / sum.achievable
	f.WorstSecond = worstSecond(bins[causeStart/binSize : m.sc.causeEnd()/binSize])
	f.WorstWorkspace = worstShare(offered, good, capacity)
	limits := m.limits[causeStart/binSize : m.sc.causeEnd()/binSize]
	f.MinLimit, f.MaxLimit = slices.Min(limits), slices.Max(limits)
	return f
}

func worstSecond(bins []bin) float64 {
	const perSecond = int(time.Second / binSize)
	worst := math.Inf(1)
	for i := perSecond; i+perSecond <= len(bins); i++ { // skips the first second, in which the controllers adapt
		var sum bin
		for _, b := range bins[i : i+perSecond] {
			sum.good += b.good
			sum.achievable += b.achievable
		}
		worst = min(worst, sum.good/sum.achievable)
	}
	return worst
}

// worstShare returns the smallest ratio of a workspace's goodput to its fair share.
// The capacity is divided among the classes in order of importance, and within a class
// by max-min fairness.
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

// waterLevel returns the level of max-min fairness: the sum of the demands, each capped
// at this level, equals the capacity.
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
