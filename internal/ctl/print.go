package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// print writes a reply in the chosen form.
func (c *client) print(m proto.Message) error {
	if c.opts.output == jsonForm {
		return writeJSON(c.app.Out, plain(m.ProtoReflect()))
	}
	w := tabwriter.NewWriter(c.app.Out, 0, 8, 2, ' ', 0)
	table(w, m)
	return printed(w.Flush())
}

// printed returns the error of a write to the output.
func printed(err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: "print", Kind: classifier.Internal, Err: errors.WithStack(err)}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return printed(e.Encode(v))
}

// writeLine writes JSON on one line, for streams.
func writeLine(w io.Writer, v any) error { return printed(json.NewEncoder(w).Encode(v)) }

// plain returns a message as a value for JSON with kebab-case names. Numbers
// stay numbers and enumeration values lose their prefix, unlike in protobuf's
// own JSON form.
func plain(m protoreflect.Message) any {
	out := make(map[string]any)
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		name := strings.ReplaceAll(string(f.Name()), "_", "-")
		if f.IsList() {
			l := m.Get(f).List()
			items := make([]any, 0, l.Len())
			for j := range l.Len() {
				items = append(items, scalar(f, l.Get(j)))
			}
			out[name] = items
			continue
		}
		if f.HasPresence() && !m.Has(f) {
			continue
		}
		out[name] = scalar(f, m.Get(f))
	}
	return out
}

func scalar(f protoreflect.FieldDescriptor, v protoreflect.Value) any {
	switch f.Kind() {
	case protoreflect.MessageKind:
		return plain(v.Message())
	case protoreflect.EnumKind:
		return enumName(f.Enum(), v.Enum())
	case protoreflect.StringKind:
		switch f.Name() {
		case "json", "before", "after":
			if json.Valid([]byte(v.String())) {
				return json.RawMessage(v.String())
			}
		}
	}
	return v.Interface()
}

// enumName returns "accepted" for OUTCOME_KIND_ACCEPTED.
func enumName(e protoreflect.EnumDescriptor, n protoreflect.EnumNumber) string {
	v := e.Values().ByNumber(n)
	if v == nil {
		return fmt.Sprint(n)
	}
	prefix := strings.TrimSuffix(string(e.Values().ByNumber(0).Name()), "UNSPECIFIED")
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(string(v.Name()), prefix), "_", "-"))
}

// table writes the columns of a reply.
func table(w io.Writer, m proto.Message) {
	switch v := m.(type) {
	case *operatorv1.Outcome:
		outcomeTable(w, v)
	case *operatorv1.GetResponse:
		getTable(w, v)
	case *operatorv1.DiffResponse:
		diffTable(w, v)
	case *operatorv1.HandoverResponse:
		handoverTable(w, v)
	case *operatorv1.Rollout:
		rolloutTable(w, v)
	}
}

// row writes cells with tabs between them; the writer's errors show at Flush.
func row(w io.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			_, _ = io.WriteString(w, "\t")
		}
		text := fmt.Sprint(c)
		if text == "" {
			text = "-"
		}
		_, _ = io.WriteString(w, text)
	}
	_, _ = io.WriteString(w, "\n")
}

func kindOf(o *operatorv1.Outcome) string {
	return enumName(o.GetKind().Descriptor(), o.GetKind().Number())
}

func outcomeTable(w io.Writer, o *operatorv1.Outcome) {
	row(w, "operation", o.GetOperationId())
	row(w, "outcome", kindOf(o))
	if o.GetRevision() != 0 {
		row(w, "revision", o.GetRevision())
	}
	if o.GetRejection() != "" {
		row(w, "why", o.GetRejection())
	}
	if o.GetReason() != "" {
		row(w, "reason", o.GetReason())
	}
	row(w, "author", o.GetAuthor())
}

func getTable(w io.Writer, r *operatorv1.GetResponse) {
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	row(w, fmt.Sprintf("configuration at revision %d, %v old", r.GetRevision(), age))
	if len(r.GetObjects()) > 0 {
		row(w, "OBJECT", "REVISION", "VALUE")
	}
	for _, o := range r.GetObjects() {
		row(w, o.GetKey(), o.GetRevision(), o.GetJson())
	}
	if len(r.GetEndpoints()) > 0 {
		row(w, "ENDPOINT", "DOMAIN", "SERVES", "VERSION", "STATE", "IN-FLIGHT", "CHUNKS", "MESSAGE")
	}
	for _, e := range r.GetEndpoints() {
		row(w, endpointCells(e)...)
	}
}

func endpointCells(e *operatorv1.Endpoint) []any {
	return []any{
		e.GetInstance(), e.GetFailureDomain(), e.GetServes(), e.GetVersion(), e.GetState(),
		fmt.Sprintf("%d/%d", e.GetInFlight(), e.GetLimit()),
		fmt.Sprintf("%d/%d", e.GetChunksVerified(), e.GetChunksTotal()), e.GetMessage(),
	}
}

func diffTable(w io.Writer, r *operatorv1.DiffResponse) {
	if len(r.GetDifferences()) == 0 {
		row(w, "no difference")
	}
	for _, d := range r.GetDifferences() {
		row(w, enumName(d.GetKind().Descriptor(), d.GetKind().Number()), d.GetKey(), "revision "+fmt.Sprint(d.GetRevision()))
		if d.GetBefore() != "" {
			row(w, "  - "+d.GetBefore())
		}
		row(w, "  + "+d.GetAfter())
	}
}

func handoverTable(w io.Writer, r *operatorv1.HandoverResponse) {
	age := time.Duration(r.GetAgeMs()) * time.Millisecond
	row(w, fmt.Sprintf("configuration at revision %d, %v old", r.GetRevision(), age))
	row(w)
	row(w, "ROLLOUT", "PHASE", "STEP", "ENDPOINTS", "VERSION", "LAST BY", "REVISION", "REASON")
	for _, v := range r.GetRollouts() {
		row(w, v.GetName(), v.GetPhase(), stepText(v), endpointText(v), v.GetVersion(), v.GetLastBy(), v.GetRevision(), v.GetReason())
	}
	row(w)
	row(w, "OUT OF SERVICE", "BY", "REVISION", "REASON")
	for _, v := range r.GetDomainsOut() {
		row(w, "failure domain "+v.GetName(), v.GetBy(), v.GetRevision(), v.GetReason())
	}
	for _, v := range r.GetDrained() {
		row(w, "endpoint "+v.GetInstance(), v.GetBy(), v.GetRevision(), v.GetReason())
	}
	row(w)
	row(w, "LATEST OPERATION", "OUTCOME", "REVISION", "AUTHOR", "WHY")
	for _, v := range r.GetOperations() {
		row(w, v.GetOperationId(), kindOf(v), v.GetRevision(), v.GetAuthor(), v.GetRejection())
	}
}

func stepText(r *operatorv1.Rollout) string {
	return fmt.Sprintf("%d of %d", r.GetStep()+1, r.GetSteps())
}

func endpointText(r *operatorv1.Rollout) string {
	return fmt.Sprintf("%d of %d", r.GetEndpointsOnTarget(), r.GetEndpoints())
}

func rolloutTable(w io.Writer, r *operatorv1.Rollout) {
	row(w, "rollout", r.GetName())
	row(w, "model", r.GetModel())
	row(w, "version", r.GetVersion())
	row(w, "from", r.GetFrom())
	row(w, "phase", r.GetPhase())
	row(w, "step", stepText(r))
	row(w, "endpoints", endpointText(r)+" on the target")
	row(w, "chunks", fmt.Sprintf("%d of %d", r.GetChunksVerified(), r.GetChunksTotal()))
	row(w, "out now", strings.Join(r.GetGranted(), " "))
	row(w, "succeeded", r.GetSucceeded())
	row(w, "failed", r.GetFailed())
	if r.GetLastFailure() != "" {
		row(w, "last failure", r.GetLastFailure())
	}
	row(w, "started by", r.GetBy())
	row(w, "last by", r.GetLastBy())
	row(w, "reason", r.GetReason())
	row(w, "revision", r.GetRevision())
}
