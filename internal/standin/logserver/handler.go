package logserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"cardamomhatch/internal/logservice"
)

const (
	maxWait        = time.Minute
	maxPageRecords = 10_000
	maxFaultBytes  = 4096
)

// Handler serves the protocol of logservice.HTTPClient. It also serves POST /fault, which
// calls SetFault with the Fault in the body, for a server in a process of its own.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", s.serveAppend)
	mux.HandleFunc("GET /streams/{stream}/records", s.serveRead)
	mux.HandleFunc("POST /fault", s.serveFault)
	return mux
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(s.cfg.MaxRecordBytes)+1))
	if err != nil {
		http.Error(w, "record is incomplete: "+err.Error(), http.StatusBadRequest)
		return
	}
	offset, replyLost, err := s.append(r.Context(), r.PathValue("stream"), data)
	if replyLost {
		panic(http.ErrAbortHandler) // closes the connection without a reply
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, map[string]uint64{"offset": offset})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err1 := strconv.ParseUint(r.FormValue("from"), 10, 64)
	limit, err2 := strconv.Atoi(r.FormValue("max"))
	waitMs, err3 := strconv.ParseInt(r.FormValue("wait_ms"), 10, 32)
	if err := errors.Join(err1, err2, err3); err != nil || limit < 1 || waitMs < 0 {
		http.Error(w, fmt.Sprintf("from, max or wait_ms is not a valid number: %v", err), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	page, err := s.read(r.Context(), r.PathValue("stream"), from, min(limit, maxPageRecords), wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxFaultBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&f)
	if err == nil {
		err = s.SetFault(f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	var truncated *logservice.ErrTruncated
	switch {
	case errors.As(err, &truncated):
		writeJSON(w, http.StatusGone, logservice.Page{First: truncated.First})
	case errors.Is(err, logservice.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	default:
		// All other errors occur before the record is stored.
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
