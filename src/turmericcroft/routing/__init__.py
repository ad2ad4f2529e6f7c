"""Server selection, rate limits and retry budgets, without I/O."""
