"""Report on error budgets and burn rates of service-level objectives."""
