package demo

import (
	"context"
	"fmt"
	"net/url"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
)

// explanations asks for an account of a request, an item and the job.
func (d *demo) explanations(ctx context.Context) error {
	job := "/v1/explain/jobs/" + url.PathEscape(d.subjects.Job)
	paths := []string{
		"/v1/explain/requests/" + url.PathEscape(d.subjects.Request),
		job + "/items/" + url.PathEscape(d.subjects.Item),
		job,
	}
	for _, path := range paths {
		var account explain.Explanation
		if err := d.operatorGet(ctx, path, &account); err != nil {
			return err
		}
		if !account.Found || account.Summary == "" {
			return fmt.Errorf("%s is not explained", path)
		}
		d.print("%s: %s\n", account.Subject, account.Summary)
	}
	return nil
}
