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
	CriticalSuccess float64       // share of critical user requests answered in time, from the start of the cause
	Recovery        time.Duration // from the end of the cause until goodput stays at or above 0.95 of what the slots allow
	WorstWorkspace  float64       // smallest ratio of a workspace's goodput to its fair share, during the cause
	WorstSecond     float64       // smallest goodput in a second of the cause, relative to the maximum that the slots allow
	RefusedBefore   float64       // share of user requests refused or failed before the cause
	MinLimit        float64       // lowest concurrency limit of the last layer, during the cause
	MaxLimit        float64       // highest concurrency limit of the last layer, during the cause
}

// String returns the figures as one line.
func (f Figures) String() string {
	return fmt.Sprintf("goodput %.3f, critical %.4f, recovery %.1fs, worst workspace %.3f, worst second %.3f, refused before %.4f, limit %.0f-%.0f",
		f.Goodput, f.CriticalSuccess, f.Recovery.Seconds(), f.WorstWorkspace, f.WorstSecond, f.RefusedBefore, f.MinLimit, f.MaxLimit)
}

// bin counts the user requests that start in an interval: all, and those that are
// answered in time.
type bin struct {
	offered, good float64
	achievable    float64 // number of user requests that the slots allow to answer
}

func (m *model) figures() Figures {
	const warmUp = time.Second
	bins := make([]bin, runEnd/binSize)
	var critical, before bin
	var offered, good [len(workspaceMix)][mesh.NumClasses]float64
	for _, request := range m.userRequests {
		b := &bins[request.started/binSize]
		answered := 0.0
		if request.good {
			answered = 1
		}
		b.offered++
		b.good += answered
		switch {
		case request.started >= causeStart && request.class == mesh.ClassCritical:
			critical.offered++
			critical.good += answered
		case request.started >= warmUp && request.started < causeStart:
			before.offered++
			before.good += answered
		}
		if request.started >= causeStart && request.started < m.sc.causeEnd() {
			offered[request.workspace][request.class]++
			good[request.workspace][request.class] += answered
		}
	}
	f := Figures{CriticalSuccess: critical.good / critical.offered, RefusedBefore: 1 - before.good/before.offered}
	var afterCauseStart bin
	causeCapacity := 0.0
	for i := range bins {
		t := time.Duration(i) * binSize
		bins[i].achievable = min(bins[i].offered, m.capacity(t)*binSize.Seconds())
		if t < causeStart {
			continue
		}
		afterCauseStart.good += bins[i].good
		afterCauseStart.achievable += bins[i].achievable
		if t < m.sc.causeEnd() {
			causeCapacity += bins[i].achievable // slots without demand at the time are not part of a fair share
		} else if bins[i].good < 0.95*bins[i].achievable {
			f.Recovery = t + binSize - m.sc.causeEnd()
		}
	}
	f.Goodput = afterCauseStart.good / afterCauseStart.achievable
	f.WorstSecond = worstSecond(bins[causeStart/binSize : m.sc.causeEnd()/binSize])
	f.WorstWorkspace = worstShare(offered, good, causeCapacity)
	limits := m.limits[causeStart/binSize : m.sc.causeEnd()/binSize]
	f.MinLimit, f.MaxLimit = slices.Min(limits), slices.Max(limits)
	return f
}

// worstSecond returns the smallest goodput of any second after the first, relative to
// what the slots allow.
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
// capacity is the number of user requests that the slots allow. It is divided among the
// classes in order of importance, and within a class by max-min fairness.
func worstShare(offered, good [len(workspaceMix)][mesh.NumClasses]float64, capacity float64) float64 {
	var fair, goodput [len(workspaceMix)]float64
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
			goodput[w] += good[w][class]
		}
	}
	worst := math.Inf(1)
	for w := range fair {
		worst = min(worst, goodput[w]/fair[w])
	}
	return worst
}

// waterLevel returns the level of max-min fairness: the sum of the demands, each capped
// at this level, equals the capacity. If the capacity exceeds all demands together, it
// is the largest demand.
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
