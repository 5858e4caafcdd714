package operator

import (
	"context"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// DomainOut takes a failure domain out of service.
func (s *Server) DomainOut(ctx context.Context, q *operatorv1.DomainOutRequest) (*operatorv1.DomainOutResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.TakeDomainOut, Object: q.GetName()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.DomainOutResponse{Outcome: o}, nil
}

// DomainIn returns a failure domain to service.
func (s *Server) DomainIn(ctx context.Context, q *operatorv1.DomainInRequest) (*operatorv1.DomainInResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.BringDomainIn, Object: q.GetName()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.DomainInResponse{Outcome: o}, nil
}

// EndpointDrain takes one endpoint out of service.
func (s *Server) EndpointDrain(ctx context.Context, q *operatorv1.EndpointDrainRequest) (*operatorv1.EndpointDrainResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.DrainEndpoint, Object: q.GetInstance()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.EndpointDrainResponse{Outcome: o}, nil
}

// EndpointReturn returns one endpoint to service.
func (s *Server) EndpointReturn(ctx context.Context, q *operatorv1.EndpointReturnRequest) (*operatorv1.EndpointReturnResponse, error) {
	o, err := s.submitOne(ctx, q.GetOperation(), recorder.Change{Kind: recorder.ReturnEndpoint, Object: q.GetInstance()})
	if err != nil {
		return nil, err
	}
	return &operatorv1.EndpointReturnResponse{Outcome: o}, nil
}
