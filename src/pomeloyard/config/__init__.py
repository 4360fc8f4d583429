"""Configuration of the fleet: model, reader, checks and publication."""
