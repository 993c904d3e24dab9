// Package malformed is a stand-in for a server in trouble, whose responses are malformed.
package malformed

import (
	"fmt"
	"io"
	"net/http"
)

// Responses returns malformed responses, by what is wrong with them. A lenient reader takes each
// for a complete response, most of them for one with the status 200 and the given body.
func Responses(body string) map[string]string {
	sized := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	sound := "HTTP/1.1 200 OK\r\n" + sized
	chunks := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(body), body)
	chunked := chunks + "\r\n"
	return map[string]string{
		"status 000":                   "HTTP/1.1 000 Broken\r\n" + sized,
		"status 000 before a response": "HTTP/1.1 000 Broken\r\n\r\n" + sound,
		"status 099 before a response": "HTTP/1.1 099 Broken\r\n\r\n" + sound,
		"status with a sign":           "HTTP/1.1 +20 OK\r\n\r\n" + sound,
		"status 600":                   "HTTP/1.1 600 Broken\r\n" + sized,
		"status of two digits":         "HTTP/1.1 20 OK\r\n" + sized,
		"status of four digits":        "HTTP/1.1 1000 OK\r\n" + sized,
		"control byte in the reason":   "HTTP/1.1 200 O\x01K\r\n" + sized,
		"NUL in the reason":            "HTTP/1.1 200 O\x00K\r\n" + sized,
		"CR in the reason":             "HTTP/1.1 200 OK\rX\r\n" + sized,
		"version HTTP/3.7":             "HTTP/3.7 200 OK\r\n" + sized,
		"version HTTP/2.0":             "HTTP/2.0 200 OK\r\n" + sized,
		"version HTTP/1.2":             "HTTP/1.2 200 OK\r\n" + sized,
		"version HTTP/0.9":             "HTTP/0.9 200 OK\r\n" + sized,
		"101 without an upgrade":       "HTTP/1.1 101 Switching Protocols\r\n" + sized,
		"101 with an upgrade":          "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + sized,
		"HTTP/1.0 in chunks":           "HTTP/1.0 200 OK\r\n" + chunked,
		"HTTP/1.0 in chunks, length":   fmt.Sprintf("HTTP/1.0 200 OK\r\nContent-Length: %d\r\n", len(body)) + chunked,
		"HTTP/1.0, coding and length":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + sized,
		"HTTP/1.0, coding identity":    "HTTP/1.0 200 OK\r\ntransfer-encoding: identity\r\n" + sized,
		"HTTP/1.0, coding after 103":   "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n" + sized,
		"trailer, blank in a name":     "HTTP/1.1 200 OK\r\n" + chunks + "X Y: z\r\n\r\n",
		"trailer, blank before colon":  "HTTP/1.1 200 OK\r\n" + chunks + "X : z\r\n\r\n",
		"trailer, control byte":        "HTTP/1.1 200 OK\r\n" + chunks + "X\x01Y: z\r\n\r\n",
		"trailer, no colon":            "HTTP/1.1 200 OK\r\n" + chunks + "XY\r\n\r\n",
		"trailer with a blank, stated": "HTTP/1.1 200 OK\r\nTrailer: X Y\r\n" + chunks + "X Y: z\r\n\r\n",
		"blank in a name":              "HTTP/1.1 200 OK\r\nX Y: z\r\n" + sized,
		"blank before the colon":       fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length : %d\r\n\r\n%s and more", len(body), body),
		"blank in a name of interim":   "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n" + sound,
		"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n" + sized,
		"NUL in a name":                "HTTP/1.1 200 OK\r\nX\x00: z\r\n" + sized,
		"tab before the colon":         "HTTP/1.1 200 OK\r\nX\t: z\r\n" + sized,
		"no name":                      "HTTP/1.1 200 OK\r\n: z\r\n" + sized,
		"no colon":                     "HTTP/1.1 200 OK\r\nXY\r\n" + sized,
	}
}

// Handler returns a handler that writes the given bytes as its response and closes the connection.
func Handler(raw string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, raw) // fails if the client has left
	})
}
