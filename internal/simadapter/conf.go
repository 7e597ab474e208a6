package simadapter

import (
	"streamcleat/control"
	"streamcleat/internal/deployment"
)

func (l *line) deployment(field string) *control.Deployment {
	t, err := deployment.Read([]byte(l.need(field)))
	if err != nil {
		panic(fault{l.no, field, err.Error()})
	}
	return t.Deployment()
}
