"""Serving system for language models and plain services on reclaimable VMs."""
