package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// This file encodes answers and problems as HTTP responses.

// problemPrefix makes a problem's type a URI, as RFC 9457 requires.
const problemPrefix = "urn:turmericbarrow:problem:"

// problemBody is the RFC 9457 encoding of a problem, with extension members from Ran on.
type problemBody struct {
	Type            string    `json:"type"`
	Title           string    `json:"title"`
	Status          int       `json:"status"`
	Detail          string    `json:"detail"`
	Ran             reply.Ran `json:"ran"`
	Line            string    `json:"line,omitempty"`
	ContractVersion int64     `json:"contract_version,omitempty"`
	RequestID       string    `json:"request_id,omitempty"`
}

var statusByType = map[reply.Type]int{
	reply.TypeBadToken:     http.StatusUnauthorized,
	reply.TypeMalformed:    http.StatusBadRequest,
	reply.TypeTooLarge:     http.StatusRequestEntityTooLarge,
	reply.TypeUnknownKind:  http.StatusNotFound,
	reply.TypeUnknownJob:   http.StatusNotFound,
	reply.TypeRateLimit:    http.StatusTooManyRequests,
	reply.TypeQueueFull:    http.StatusTooManyRequests,
	reply.TypeDeadline:     http.StatusServiceUnavailable,
	reply.TypeNoUpstream:   http.StatusServiceUnavailable,
	reply.TypeNeverRuns:    http.StatusUnprocessableEntity,
	reply.TypeFailed:       http.StatusBadGateway,
	reply.TypeCancelled:    http.StatusConflict,
	reply.TypeFateUnknown:  http.StatusGatewayTimeout,
	reply.TypeNoGrant:      http.StatusServiceUnavailable,
	reply.TypeKeyTooOld:    http.StatusGone,
	reply.TypeKeyReused:    http.StatusUnprocessableEntity,
	reply.TypeAnswerGone:   http.StatusGone,
	reply.TypeShuttingDown: http.StatusServiceUnavailable,
}

var titleByType = map[reply.Type]string{
	reply.TypeBadToken:     "The token is not known",
	reply.TypeMalformed:    "The request is not understood",
	reply.TypeTooLarge:     "The request is too large",
	reply.TypeUnknownKind:  "The kind of request is not known",
	reply.TypeUnknownJob:   "The job is not known",
	reply.TypeRateLimit:    "The contract's rate is used up",
	reply.TypeQueueFull:    "The contract's queue is full",
	reply.TypeDeadline:     "The deadline can't be met",
	reply.TypeNoUpstream:   "No upstream can take the request",
	reply.TypeNeverRuns:    "The request can never run",
	reply.TypeFailed:       "The upstream failed",
	reply.TypeCancelled:    "The request was cancelled",
	reply.TypeFateUnknown:  "It is not known whether the request ran",
	reply.TypeNoGrant:      "The key can't be started",
	reply.TypeKeyTooOld:    "The key is too old",
	reply.TypeKeyReused:    "The key belongs to another request",
	reply.TypeAnswerGone:   "The answer is no longer kept",
	reply.TypeShuttingDown: "The entry is shutting down",
}

// httpStatus returns the HTTP status of a problem. A deadline that passed when a task
// had or may have started is a gateway timeout. If no task started, the service lacked
// capacity.
func httpStatus(p reply.Problem) int {
	if p.Type == reply.TypeDeadline && p.Ran != reply.RanNo {
		return http.StatusGatewayTimeout
	}
	return statusByType[p.Type]
}

func writeProblem(rw http.ResponseWriter, requestID string, p reply.Problem) {
	status := httpStatus(p)
	if p.RetryAfter > 0 {
		seconds := (p.RetryAfter + clock.Second - 1) / clock.Second
		rw.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if requestID != "" {
		rw.Header().Set(headerRequest, requestID)
	}
	rw.Header().Set("Content-Type", "application/problem+json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(problemBody{
		Type:            problemPrefix + string(p.Type),
		Title:           titleByType[p.Type],
		Status:          status,
		Detail:          p.Detail,
		Ran:             p.Ran,
		Line:            p.Line,
		ContractVersion: p.Version,
		RequestID:       requestID,
	})
}

func writeJSON(rw http.ResponseWriter, status int, v any) {
	rw.Header().Set("Content-Type", contentTypeJSON)
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(v)
}

// writeRequestAnswer writes the answer to a single request: the upstream's response
// unchanged, or the problem.
func writeRequestAnswer(rw http.ResponseWriter, a reply.Answer) {
	if a.Problem != nil {
		writeProblem(rw, a.Request, *a.Problem)
		return
	}
	r := a.Results[0]
	rw.Header().Set(headerRequest, a.Request)
	if r.ContentType != "" {
		rw.Header().Set("Content-Type", r.ContentType)
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	rw.Write(r.Body)
}

// jobResponse is the response body for a job that has not ended or is complete.
type jobResponse struct {
	ID string `json:"id"`
	// State is "running" until the job has ended, even while all its tasks still wait, and
	// then "complete".
	State   string      `json:"state"`
	Results []jobResult `json:"results,omitempty"`
}

type jobResult struct {
	ContentType string `json:"content_type,omitempty"`
	// Payload is the upstream's response: valid JSON as the same value, whose white space
	// and escapes may differ, and anything else as a JSON string.
	Payload json.RawMessage `json:"payload"`
}

func writeJobAnswer(rw http.ResponseWriter, id string, a reply.Answer) {
	if a.Problem != nil {
		writeProblem(rw, a.Request, *a.Problem)
		return
	}
	rw.Header().Set(headerRequest, a.Request)
	if a.Pending {
		writeJSON(rw, http.StatusOK, jobResponse{ID: id, State: "running"})
		return
	}
	response := jobResponse{ID: id, State: "complete"}
	for _, r := range a.Results {
		response.Results = append(response.Results, jobResult{ContentType: r.ContentType, Payload: jobPayload(r)})
	}
	writeJSON(rw, http.StatusOK, response)
}

// jobPayload returns a response that is valid JSON unchanged and any other as a JSON string,
// in which bytes that are not UTF-8 are replaced by U+FFFD.
func jobPayload(r reply.Result) json.RawMessage {
	if json.Valid(r.Body) {
		return r.Body
	}
	text, err := json.Marshal(string(r.Body))
	if err != nil {
		return json.RawMessage("null")
	}
	return text
}
