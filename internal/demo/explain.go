package demo

import (
	"context"
	"fmt"
	"net/url"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
)

// explanations requests the explanations of an online request, an item and the job.
func (d *demo) explanations(ctx context.Context) error {
	job := "/v1/explain/jobs/" + url.PathEscape(d.subjects.Job)
	paths := []string{
		"/v1/explain/requests/" + url.PathEscape(d.subjects.Request),
		job + "/items/" + url.PathEscape(d.subjects.Item),
		job,
	}
	for _, path := range paths {
		var explanation explain.Explanation
		if err := d.getFromOperator(ctx, path, &explanation); err != nil {
			return err
		}
		if !explanation.Found || explanation.Summary == "" {
			return fmt.Errorf("no explanation at %s", path)
		}
		d.print("%s: %s\n", explanation.Subject, explanation.Summary)
	}
	return nil
}
