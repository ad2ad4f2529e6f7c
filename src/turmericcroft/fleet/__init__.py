"""Directory of backend servers, and choice of each zone's relay."""
