"""Expected work of requests, and what servers still have to do."""
