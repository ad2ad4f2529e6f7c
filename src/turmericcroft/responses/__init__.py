"""What bytes of backend servers mean: events, joined responses, migrations."""
