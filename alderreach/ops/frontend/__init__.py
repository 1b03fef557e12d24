"""The frontend: takes callers' requests and brings them to the cell's leader."""
