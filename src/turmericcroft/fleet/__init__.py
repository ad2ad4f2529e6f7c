"""What is known of backend servers, and how old it is."""
