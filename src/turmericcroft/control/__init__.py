"""Tasks that decide for the whole fleet and keep its state in the store."""
