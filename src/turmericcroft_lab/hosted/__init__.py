"""Stand-ins that speak the hosted platform's protocol."""
