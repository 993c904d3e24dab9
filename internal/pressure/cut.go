package pressure

import (
	"encoding/hex"
	"fmt"
	"strings"
)

// Cut is a load-shedding threshold: for each level, the share of its requests that
// is admitted, from 0 to 1.
type Cut [NumLevels]float32

// OpenCut admits every request.
var OpenCut = CutAt(NumLevels)

// probeShare is the share of each level that every cut admits. These requests show
// how much demand the level has; without them, nothing would show when a closed cut
// can open.
const probeShare = 0.03

// CutAt returns the cut that admits the first n levels fully, where n is the integer part
// of x, the next level with a share equal to the fractional part of x, and no other level.
func CutAt(x float64) Cut {
	var c Cut
	for l := range c {
		c[l] = float32(min(max(x-float64(l), 0), 1))
	}
	return c
}

// Share returns the share of a level's requests that is admitted, at least
// probeShare.
func (c Cut) Share(level Level) float64 {
	return max(float64(c[min(level, NumLevels-1)]), probeShare)
}

// Admits reports whether a request of the level is admitted. draw is uniformly
// distributed in [0, 1).
func (c Cut) Admits(level Level, draw float64) bool { return draw < c.Share(level) }

// Weight returns the weight of a request (see Meter) at a service whose callees have this
// cut, given the weight of the request at the entry node. Requests that this cut refuses
// are not counted: they would not reach that service even if its own cut were open.
func (c Cut) Weight(entryWeight float64, level Level) float64 {
	return max(entryWeight*c.Share(level), 1)
}

// Tighter returns the level-wise minimum of two cuts.
func (c Cut) Tighter(d Cut) Cut {
	for l := range c {
		c[l] = min(c[l], d[l])
	}
	return c
}

// toward returns the cut moved towards d by the given fraction of the difference.
func (c Cut) toward(d Cut, fraction float32) Cut {
	for l := range c {
		c[l] += fraction * (d[l] - c[l])
	}
	return c
}

// relaxed returns the cut with every share raised by step, up to 1.
func (c Cut) relaxed(step float32) Cut {
	for l := range c {
		c[l] = min(c[l]+step, 1)
	}
	return c
}

// Distance returns the largest difference between the shares of a level in the two cuts.
func (c Cut) Distance(d Cut) float64 {
	distance := float32(0)
	for l := range c {
		distance = max(distance, c[l]-d[l], d[l]-c[l])
	}
	return float64(distance)
}

// FirstRestricted returns the first level that is not fully admitted, or NumLevels
// if the cut is open.
func (c Cut) FirstRestricted() Level {
	for l := range c {
		if c[l] < 1 {
			return Level(l)
		}
	}
	return NumLevels
}

// String lists the shares by level, from the first level that is not fully admitted and
// without trailing repetitions of the last share.
func (c Cut) String() string {
	var parts []string
	for l := int(c.FirstRestricted()); l < c.distinctLevels(); l++ {
		parts = append(parts, fmt.Sprintf("%d:%.2f", l, c[l]))
	}
	if parts == nil {
		return "open"
	}
	return strings.Join(parts, " ")
}

// distinctLevels returns the length of the cut without trailing repetitions of the
// last share.
func (c Cut) distinctLevels() int {
	n := len(c)
	for n > 1 && c[n-1] == c[n-2] {
		n--
	}
	return n
}

const byteScale = 255 // encoded value of a share of 1

// Encode returns the cut as text: two hexadecimal digits per level. The last value
// also applies to all further levels.
func (c Cut) Encode() string {
	raw := make([]byte, c.distinctLevels())
	for l := range raw {
		raw[l] = byte(c[l]*byteScale + 0.5)
	}
	return hex.EncodeToString(raw)
}

// EncodesAs reports whether Encode returns the same text for both cuts.
func (c Cut) EncodesAs(d Cut) bool {
	for l := range c {
		if byte(c[l]*byteScale+0.5) != byte(d[l]*byteScale+0.5) {
			return false
		}
	}
	return true
}

// ParseCut parses the output of Encode. On error it also returns OpenCut.
func ParseCut(text string) (Cut, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) == 0 || len(raw) > NumLevels {
		return OpenCut, fmt.Errorf("invalid cut %q: want two hexadecimal digits for each of 1 to %d levels", text, NumLevels)
	}
	var c Cut
	for l := range c {
		c[l] = float32(raw[min(l, len(raw)-1)]) / byteScale
	}
	return c, nil
}
