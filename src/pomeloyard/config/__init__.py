"""Configuration of the fleet: model, reader and publication."""
