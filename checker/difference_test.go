package checker_test

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/checker"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against a field of package resolver that is added later and whose changes aren't reported.
func TestCompareHasEveryField(t *testing.T) {
	base := func() *resolver.Configuration {
		return &resolver.Configuration{
			Routes:   []resolver.Route{{Name: "a", Host: "h", Prefix: "/", Targets: []resolver.Target{{Service: "s", Weight: 1}}}},
			Services: []resolver.Service{{Name: "s", Engine: &resolver.Engine{Model: "m"}}},
			Accounts: []resolver.Account{{Name: "t", Keys: []string{"k"}}},
		}
	}
	for name, part := range map[string]func(*resolver.Configuration) reflect.Value{
		"route":   func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(&c.Routes[0]).Elem() },
		"target":  func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(&c.Routes[0].Targets[0]).Elem() },
		"service": func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(&c.Services[0]).Elem() },
		"engine":  func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(c.Services[0].Engine).Elem() },
		"account": func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(&c.Accounts[0]).Elem() },
		"limits":  func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(&c.Limits).Elem() },
		"whole":   func(c *resolver.Configuration) reflect.Value { return reflect.ValueOf(c).Elem() },
	} {
		for i := range part(base()).NumField() {
			c := base()
			change(part(c).Field(i))
			d := &checker.Document{Configuration: c, Locate: func(resolver.Place) checker.Position { return checker.Position{} }}
			if len(checker.Compare(base(), d)) == 0 {
				t.Errorf("%s: a change of %s is no difference", name, part(c).Type().Field(i).Name)
			}
		}
	}
}

// change changes a value.
func change(v reflect.Value) {
	switch v.Interface().(type) {
	case netip.AddrPort:
		v.Set(reflect.ValueOf(netip.MustParseAddrPort("10.0.0.9:80")))
		return
	case time.Duration:
		v.SetInt(v.Int() + 1)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		change(v.Field(0))
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
			return
		}
		v.SetZero()
	case reflect.Slice:
		v.Set(reflect.Append(v, reflect.Zero(v.Type().Elem())))
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Uint64:
		v.SetUint(v.Uint() + 1)
	case reflect.Uint8:
		v.SetUint(v.Uint() + 1)
	default:
		v.SetInt(v.Int() + 1)
	}
}
