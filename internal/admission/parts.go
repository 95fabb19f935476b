package admission

import (
	"encoding/json"

	"github.com/rosemarydyke/rosemarydyke/quarantine"
)

// PromptParts returns the fingerprints of the parts of a prompt that other requests may have too: all messages of a chat but
// the last one. A prompt that is no list has none.
func PromptParts(model string, messages json.RawMessage) []uint64 {
	var parts []json.RawMessage
	if err := json.Unmarshal(messages, &parts); err != nil || len(parts) < 2 {
		return nil
	}
	fingerprints := make([]uint64, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		fingerprints = append(fingerprints, quarantine.PartFingerprint(model, string(part)))
	}
	return fingerprints
}

// BodyParts is PromptParts of the body of a chat request.
func BodyParts(model string, body []byte) []uint64 {
	var chat struct {
		Messages json.RawMessage `json:"messages"`
	}
	if json.Unmarshal(body, &chat) != nil {
		return nil
	}
	return PromptParts(model, chat.Messages)
}

// Content returns what the request may share with others that crash targets.
func (r Request) Content() quarantine.Content {
	return quarantine.Content{Fingerprint: r.Fingerprint, Parts: r.PromptParts}
}
