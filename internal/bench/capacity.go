package bench

import "context"

func capacity(context.Context, Options) ([]Figure, error) { return nil, nil }
