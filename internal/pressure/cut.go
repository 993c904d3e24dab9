package pressure

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Cut is the part of the requests of each level that is admitted, from 0 to 1.
type Cut [NumLevels]float32

// OpenCut admits every request.
var OpenCut = CutAt(NumLevels)

// probeShare is the part of every level that passes any cut. Its requests tell
// how much of the level there is; without them the cut would have to open blindly.
const probeShare = 0.03

// CutAt returns the cut that admits the levels below the whole part of x, of that
// level the fraction, and nothing of the others.
func CutAt(x float64) Cut {
	var c Cut
	for l := range c {
		c[l] = float32(min(max(x-float64(l), 0), 1))
	}
	return c
}

// Share is the part of a level's requests that passes.
func (c Cut) Share(level Level) float64 {
	return max(float64(c[min(level, NumLevels-1)]), probeShare)
}

// Admits reports whether a request of the level passes. draw is uniform in
// [0, 1).
func (c Cut) Admits(level Level, draw float64) bool { return draw < c.Share(level) }

// Weight returns how many requests of its level a request stands for at a service
// above the one that stated the cut, when it stands for so many at the entry.
// Those that the cut refuses would not reach the service however much it admitted.
func (c Cut) Weight(entry float64, level Level) float64 {
	return max(entry*c.Share(level), 1)
}

// Tighter returns the cut that admits what both admit.
func (c Cut) Tighter(d Cut) Cut {
	for l := range c {
		c[l] = min(c[l], d[l])
	}
	return c
}

// toward returns the cut moved towards d by a part of the distance.
func (c Cut) toward(d Cut, part float32) Cut {
	for l := range c {
		c[l] += part * (d[l] - c[l])
	}
	return c
}

// relaxed returns the cut with every share larger by step.
func (c Cut) relaxed(step float32) Cut {
	for l := range c {
		c[l] = min(c[l]+step, 1)
	}
	return c
}

// Distance returns the largest difference of a share.
func (c Cut) Distance(d Cut) float64 {
	most := float32(0)
	for l := range c {
		most = max(most, c[l]-d[l], d[l]-c[l])
	}
	return float64(most)
}

// Tightest returns the first level that is not admitted whole, and NumLevels if
// the cut is open.
func (c Cut) Tightest() Level {
	for l := range c {
		if c[l] < 1 {
			return Level(l)
		}
	}
	return NumLevels
}

// String returns the levels that are not admitted whole with their shares, up to
// the last one that differs from those behind it.
func (c Cut) String() string {
	var parts []string
	for l := int(c.Tightest()); l < c.length(); l++ {
		parts = append(parts, fmt.Sprintf("%d:%.2f", l, c[l]))
	}
	if parts == nil {
		return "open"
	}
	return strings.Join(parts, " ")
}

// length is the number of levels after which the share does not change any more.
func (c Cut) length() int {
	n := len(c)
	for n > 1 && c[n-1] == c[n-2] {
		n--
	}
	return n
}

const byteScale = 255 // of a share in an answer's header

// Encode returns the cut as text: two hexadecimal digits for each level, the last
// of which holds for all levels behind it too.
func (c Cut) Encode() string {
	raw := make([]byte, c.length())
	for l := range raw {
		raw[l] = byte(c[l]*byteScale + 0.5)
	}
	return hex.EncodeToString(raw)
}

// ParseCut reads a cut that Encode wrote.
func ParseCut(text string) (Cut, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) == 0 || len(raw) > NumLevels {
		return OpenCut, fmt.Errorf("%q is not a cut of at most %d levels", text, NumLevels)
	}
	var c Cut
	for l := range c {
		c[l] = float32(raw[min(l, len(raw)-1)]) / byteScale
	}
	return c, nil
}
