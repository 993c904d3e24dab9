package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

var placeholder = regexp.MustCompile(`\{\{([#/]?)([a-z_.]+)\}\}`)

// renderTemplate fills in the deployed template as a renderer does that renders every section and
// leaves values that it does not know empty.
func renderTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	return placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		if m := placeholder.FindStringSubmatch(p); m[1] == "" {
			return values[m[2]]
		}
		return ""
	})
}

// Guards against a node that does not start because the renderer of its settings knows fewer
// optional settings than the template, and against a required setting that may be empty.
func TestTemplateWithUnknownOptionalSettings(t *testing.T) {
	values := map[string]string{
		"node_name": "h", "zone": "d", "service": "s", "app_addr": "127.0.0.1:1", "ip": "127.0.0.1",
		"listen.outbound": "127.0.0.1:2", "listen.inbound": "127.0.0.1:3", "listen.control": "127.0.0.1:4", "listen.ready_addr": "127.0.0.1:5",
		"platform.address": "127.0.0.1:6", "bounds.grace": "7s",
	}
	s, err := ParseSidecar("n.ini", []byte(renderTemplate(t, values)))
	if err != nil {
		t.Fatalf("settings whose optional keys are empty are refused:\n%v", err)
	}
	if s.Terms.Grace.String() != "7s" || s.Terms.Drain != defaultDrain || s.Terms.ColdOverage != defaultColdOverage || s.Terms.Evacuate != 0 || s.Limits != (Limits{}) {
		t.Errorf("empty settings do not have their defaults: %+v, %+v", s.Terms, s.Limits)
	}
	for _, key := range []string{"[terms] heartbeat", "[terms] evacuate", "[terms] cold_slack", "[limits] memory_mb", "[limits] max_descriptors"} {
		if !strings.Contains(s.Unset+", ", key+", ") {
			t.Errorf("%q does not name %s", s.Unset, key)
		}
	}
	if strings.Contains(s.Unset, "grace") {
		t.Errorf("%q names a setting with a value", s.Unset)
	}
	for name, key := range map[string]string{"zone": "[node] data_centre", "app_addr": "[node] upstream", "listen.outbound": "[listen] callers", "platform.address": "[store] address"} {
		value := values[name]
		values[name] = ""
		_, err := ParseSidecar("n.ini", []byte(renderTemplate(t, values)))
		if want := "n.ini: " + key + ": value is empty"; err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("an empty %s gives error %v, want %s", key, err, want)
		}
		values[name] = value
	}
}

// Guards against an empty optional setting of a node with its own log being refused, and against
// a TLS section of which only a part is set.
func TestEmptyOptionalSettings(t *testing.T) {
	withTLS := validSettings + "[tls]\ncert =\nkey =\nca =\n"
	s, err := Parse("n.ini", []byte(withTLS))
	if want := "[tls] cert, [tls] key, [tls] ca"; err != nil || s.Unset != want {
		t.Errorf("unset %q, error %v; want %q", s.Unset, err, want)
	}
	for text, want := range map[string]string{
		strings.Replace(withTLS, "cert =", "cert = c.pem", 1):                              "n.ini: [tls] key: value is empty",
		strings.Replace(withTLS, "insecure_loopback = true", "insecure_loopback =", 1):     "n.ini: [tls] cert: value is empty",
		strings.Replace(validSettings, "host = h1", "host =", 1):                           "n.ini: [node] host: value is empty",
		strings.Replace(validSettings, "address = http://127.0.0.1:9000", "address = ", 1): "n.ini: [log] address: value is empty",
	} {
		if _, err := Parse("n.ini", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}
