package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Guards against a setting that is accepted and can't be used, and against one that is refused
// without its name.
func FuzzSettings(f *testing.F) {
	f.Add("127.0.0.1:7000")
	f.Add("[fe80::1%eth0]:1")
	f.Add("http://127.0.0.1:7000/")
	f.Add("https://[::1]:7000//")
	f.Add("http://user@/x?y#z")
	f.Add("http://h?y")
	f.Add("tanta-1")
	f.Fuzz(func(t *testing.T, v string) {
		refused := func(faults *Faults) bool {
			err := faults.Err()
			if err == nil {
				return false
			}
			var e cli.ExitCoder
			if !errors.As(err, &e) || e.ExitCode() != ExitCode || !strings.HasPrefix(err.Error(), "setting s: ") || strings.Contains(err.Error(), "\n") {
				t.Fatalf("refused with %T: %v", err, err)
			}
			return true
		}
		var a, u, n Faults
		if p := a.AddrPort("s", v); !refused(&a) {
			if again, err := netip.ParseAddrPort(p.String()); err != nil || again != p {
				t.Fatalf("%q is read as %s, and again as %s", v, p, again)
			}
		}
		if base := u.URL("s", v); !refused(&u) {
			if p, err := url.Parse(base + "/v1/x"); err != nil || p.Host == "" || !strings.HasSuffix(p.Path, "/v1/x") {
				t.Fatalf("%q is accepted, and %q can't be used", v, base+"/v1/x")
			}
		}
		if p := n.Name("s", v); !refused(&n) && p.Check() != nil {
			t.Fatalf("name %q is accepted", v)
		}
	})
}
