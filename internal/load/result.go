package load

// Counts says how requests ended. Every arrival is counted exactly once among
// InTime, Late, Refused, Failed, Cut and Dropped.
type Counts struct {
	Arrivals int64            `json:"arrivals"`
	InTime   int64            `json:"in_time"` // answered whole within the timeout
	Late     int64            `json:"late"`    // answered whole after the timeout
	Refused  int64            `json:"refused"` // answered with an outcome header
	Failed   int64            `json:"failed"`  // no answer, or a server error
	Cut      int64            `json:"cut"`     // the answer broke off
	Dropped  int64            `json:"dropped"` // not sent, MaxInFlight reached
	Retries  int64            `json:"retries"`
	Reasons  map[string]int64 `json:"reasons,omitempty"` // of refusals, "execution/reason"
}

// Latency holds percentiles in milliseconds from the intended start.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Line is the result of a workspace or of one of its routes.
type Line struct {
	Workspace string  `json:"workspace"`
	Route     string  `json:"route,omitempty"` // "METHOD path"; empty for the workspace as a whole
	Counts    Counts  `json:"counts"`
	Latency   Latency `json:"latency"` // of whole answers
}

// Result is the outcome of a run.
type Result struct {
	Seed           uint64  `json:"seed"`
	ElapsedSeconds float64 `json:"elapsed_s"`
	Total          Line    `json:"total"`
	Workspaces     []Line  `json:"workspaces"`
	Routes         []Line  `json:"routes"`
}
