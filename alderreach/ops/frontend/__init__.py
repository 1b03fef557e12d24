"""The frontend: accepts callers' requests and forwards them to the cell's leader."""
