package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
	"github.com/rosemarydyke/rosemarydyke/internal/strictyaml"
)

// Default values of documents.
const (
	defaultWeight         = 1.0
	defaultDeadline       = 30 * time.Second
	defaultMaxTokens      = 4096
	defaultServiceTimeout = 30 * time.Second
)

// idempotentMethods are the methods that RFC 9110 section 9.2.2 defines as idempotent.
var idempotentMethods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}

// addParsed parses a document of the kind at loc and adds it to the snapshot's parsed form.
func (s *Snapshot) addParsed(loc location, document string) error {
	switch loc.kind {
	case KindClient:
		return s.addClient(loc, document)
	case KindModel:
		return s.addModel(loc.name, document)
	case KindTarget:
		return s.addTarget(loc.name, document)
	case KindService:
		return s.addService(loc, document)
	case KindOperator:
		return s.addOperator(loc.name, document)
	default:
		return fmt.Errorf("unknown kind of document %q", loc.kind)
	}
}

func (s *Snapshot) addClient(loc location, document string) error {
	client := &Client{Name: loc.name, Owner: loc.owner, Weight: defaultWeight, Deadline: defaultDeadline}
	if err := strictyaml.Decode([]byte(document), client); err != nil {
		return err
	}
	if _, taken := s.Clients[loc.name]; taken {
		return fmt.Errorf("another team has a client named %q", loc.name)
	}
	for _, digest := range client.KeySHA256 {
		// The validation accepts a prefix 0x, which leaves a text that is no digest and the digest of no key.
		key, ok := account.ParseDigest(digest)
		if !ok {
			continue
		}
		if other := s.clientsByKey.Add(key, client); other != nil {
			return fmt.Errorf("a key of this client is also a key of client %q", other.Name)
		}
	}
	s.Clients[loc.name] = client
	return nil
}

func (s *Snapshot) addModel(name, document string) error {
	model := &Model{Name: name, MaxTokens: defaultMaxTokens}
	if err := strictyaml.Decode([]byte(document), model); err != nil {
		return err
	}
	s.Models[name] = model
	return nil
}

func (s *Snapshot) addTarget(name, document string) error {
	target := &Target{Name: name}
	if err := strictyaml.Decode([]byte(document), target); err != nil {
		return err
	}
	if (target.Model == "") == (target.Service == "") {
		return errors.New("exactly one of model and service must be set")
	}
	if target.Managed && target.Model == "" {
		return errors.New("only a target with a model can be managed")
	}
	if !target.Managed && (len(target.Adapters) > 0 || target.Version != "" || target.Role != "") {
		return errors.New("adapters, version and role are for managed targets")
	}
	if _, err := netip.ParseAddrPort(target.Address); err != nil {
		return fmt.Errorf("address must be IP:port: %w", err)
	}
	s.Targets[name] = target
	return nil
}

func (s *Snapshot) addService(loc location, document string) error {
	service := &Service{Name: loc.name, Owner: loc.owner, Timeout: defaultServiceTimeout, IdempotentMethods: idempotentMethods}
	if err := strictyaml.Decode([]byte(document), service); err != nil {
		return err
	}
	if _, taken := s.Services[loc.name]; taken {
		return fmt.Errorf("another team has a service named %q", loc.name)
	}
	s.Services[loc.name] = service
	return nil
}

func (s *Snapshot) addOperator(name, document string) error {
	operator := &Operator{Name: name}
	if err := strictyaml.Decode([]byte(document), operator); err != nil {
		return err
	}
	if err := CheckPath(operator.Path); err != nil {
		return err
	}
	digest := strings.ToLower(operator.KeySHA256)
	if other, taken := s.operatorsByKey[digest]; taken {
		return fmt.Errorf("the key is also the key of operator %q", other.Name)
	}
	s.operatorsByKey[digest] = operator
	s.Operators[name] = operator
	return nil
}

// checkReferences reports documents that refer to documents which do not exist.
func (s *Snapshot) checkReferences() []Problem {
	var problems []Problem
	for path := range s.Documents {
		loc, err := parsePath(path)
		if err != nil {
			continue
		}
		if message := s.danglingReference(loc); message != "" {
			problems = append(problems, Problem{Path: path, Message: message})
		}
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return problems
}

// danglingReference returns a message about a reference to an absent document, or "" if there is none.
func (s *Snapshot) danglingReference(loc location) string {
	switch loc.kind {
	case KindTarget:
		return s.danglingTargetReference(s.Targets[loc.name])
	case KindService:
		return s.danglingServiceReference(s.Services[loc.name])
	default:
		return ""
	}
}

func (s *Snapshot) danglingTargetReference(target *Target) string {
	if _, ok := s.Models[target.Model]; target.Model != "" && !ok {
		return fmt.Sprintf("model %q does not exist", target.Model)
	}
	if _, ok := s.Services[target.Service]; target.Service != "" && !ok {
		return fmt.Sprintf("service %q does not exist", target.Service)
	}
	return ""
}

func (s *Snapshot) danglingServiceReference(service *Service) string {
	for _, name := range service.Clients {
		if _, ok := s.Clients[name]; !ok {
			return fmt.Sprintf("client %q does not exist", name)
		}
	}
	return ""
}
